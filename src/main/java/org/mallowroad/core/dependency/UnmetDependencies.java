package org.mallowroad.core.dependency;

/**
 * The dependencies that an evaluation found unmet, as text for users. The text is bounded: it
 * describes the first few dependencies and counts the others.
 */
public final class UnmetDependencies {
  private static final int MAX_DESCRIBED = 5;

  /** Length of the text, in characters, from which no further dependency is described. */
  private static final int MAX_TEXT_LENGTH = 300;

  private final StringBuilder text = new StringBuilder();
  private int count;

  /** Adds an unmet dependency. */
  public void add(String description) {
    if (count++ < MAX_DESCRIBED && text.length() < MAX_TEXT_LENGTH) {
      text.append(text.length() > 0 ? "; " : "").append(description);
    }
  }

  /** True when no unmet dependency was found. */
  public boolean isEmpty() {
    return count == 0;
  }

  /** True when no further dependency would be described, so that the check can end early. */
  public boolean isFull() {
    return count >= MAX_DESCRIBED;
  }

  /** Describes the unmet dependencies in one line. */
  public String describe() {
    int undescribed = count - MAX_DESCRIBED;
    return text + (undescribed > 0 ? "; and " + undescribed + " more" : "");
  }
}
