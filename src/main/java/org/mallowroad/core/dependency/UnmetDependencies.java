package org.mallowroad.core.dependency;

/**
 * The dependencies that an evaluation found not to be met, as text for users. The text is bounded
 * and names the first few; the others are counted.
 */
public final class UnmetDependencies {
  private static final int MAX_NAMED = 5;

  /** In characters: nothing more is named once the text is as long as this. */
  private static final int MAX_TEXT = 300;

  private final StringBuilder text = new StringBuilder();
  private int count;

  /** Adds a dependency that is not met. */
  public void add(String description) {
    if (count++ < MAX_NAMED && text.length() < MAX_TEXT) {
      text.append(text.length() > 0 ? "; " : "").append(description);
    }
  }

  /** True when all that was checked is met. */
  public boolean isEmpty() {
    return count == 0;
  }

  /** True when no further one would be named, so that the check can end early. */
  public boolean isFull() {
    return count >= MAX_NAMED;
  }

  /** All of them in one line. */
  public String describe() {
    int more = count - MAX_NAMED;
    return text + (more > 0 ? "; and " + more + " more" : "");
  }
}
