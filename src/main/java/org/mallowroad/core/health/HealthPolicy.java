package org.mallowroad.core.health;

/**
 * The operators' thresholds for evidence (XML, element {@code health}).
 *
 * @param slowFactor a machine is slow when its tasks take this many times what their peers take
 * @param slowSamples this many tasks must say so, at the least
 * @param slowShare at most this share of the fleet is held slow at once: more of them are rather a
 *     slow day than slow machines
 * @param favourMs after this time without new evidence a slow machine is tried again, in ms
 * @param errors error exits of as many jobs make a machine faulty
 * @param cutShare when this share of a zone's machines is silent, and not of the rest, it is cut
 *     off, as it is when none of them is heard
 * @param cutLeast zones of fewer machines are not judged
 * @param cutReturns this share of a cut zone's machines may be returned before their leases ran out
 * @param hasteShare this share of the fleet may be returned for silence at once; it fills up again
 *     in the time of a worker's lease
 * @param hasteLeast and as many machines in any case
 * @param replaceShare at most this share of the room that a cut zone keeps is rented elsewhere
 * @param stillMs a turn of the loop that comes later than this means that the process stood still
 */
public record HealthPolicy(
    double slowFactor,
    int slowSamples,
    double slowShare,
    long favourMs,
    int errors,
    double cutShare,
    int cutLeast,
    double cutReturns,
    double hasteShare,
    int hasteLeast,
    double replaceShare,
    long stillMs) {

  /** What holds without settings; docs/health.md says what each was weighed against. */
  public static HealthPolicy defaults() {
    return new HealthPolicy(1.7, 5, 0.1, 90_000, 3, 0.8, 5, 0.5, 0.35, 8, 0.5, 1_500);
  }
}
