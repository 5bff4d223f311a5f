package review;

/** A rate limit that allows a burst of one second's worth. */
final class Bucket {
  private final double perSecond;
  private double permits;
  private long lastNs = System.nanoTime();

  Bucket(double perSecond) {
    this.perSecond = perSecond;
    this.permits = perSecond;
  }

  synchronized boolean take(double count) {
    long now = System.nanoTime();
    permits = Math.min(perSecond, permits + (now - lastNs) / 1e9 * perSecond);
    lastNs = now;
    if (permits < count) {
      return false;
    }
    permits -= count;
    return true;
  }
}
