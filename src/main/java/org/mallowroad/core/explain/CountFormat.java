package org.mallowroad.core.explain;

/** Numbers of things in words for people. */
public final class CountFormat {
  private CountFormat() {}

  /** As {@code 1 task} or {@code 3 tasks}. */
  public static String of(int n, String thing) {
    return n + " " + thing + (n == 1 ? "" : "s");
  }
}
