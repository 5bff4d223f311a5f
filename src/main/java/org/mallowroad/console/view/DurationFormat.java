package org.mallowroad.console.view;

import java.util.Locale;

/** Lengths of time for people. */
public final class DurationFormat {
  private DurationFormat() {}

  /** As {@code 0.4s}, {@code 17s}, {@code 3m20s} or {@code 2h05m}; a dash for unknown. */
  public static String of(double s) {
    if (s < 0) {
      return "-";
    }
    if (s < 9.95) {
      return String.format(Locale.ROOT, "%.1fs", s);
    }
    long t = Math.round(s);
    if (t < 60) {
      return t + "s";
    }
    if (t < 3600) {
      return String.format(Locale.ROOT, "%dm%02ds", t / 60, t % 60);
    }
    return String.format(Locale.ROOT, "%dh%02dm", t / 3600, t / 60 % 60);
  }
}
