package org.mallowroad.core.fold;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * Encodes sets of block numbers as short text, such as {@code 3-9,12}, since one record may name
 * hundreds of them.
 */
public final class BlockNumberRanges {
  private BlockNumberRanges() {}

  /** Encodes numbers, which must be in ascending order. */
  public static String encode(IntList numbers) {
    StringBuilder b = new StringBuilder();
    for (int i = 0; i < numbers.size(); ) {
      int j = i;
      while (j + 1 < numbers.size() && numbers.getInt(j + 1) == numbers.getInt(j) + 1) {
        j++;
      }
      b.append(b.length() > 0 ? "," : "").append(numbers.getInt(i));
      if (j > i) {
        b.append('-').append(numbers.getInt(j));
      }
      i = j + 1;
    }
    return b.toString();
  }

  /**
   * Decodes numbers.
   *
   * @param most most numbers that the text may name
   * @throws IllegalArgumentException if the text is malformed or names too many numbers
   */
  public static IntList decode(String text, int most) {
    IntList out = new IntArrayList();
    for (String part : text.split(",")) {
      int dash = part.indexOf('-');
      int from = Integer.parseInt(dash < 0 ? part : part.substring(0, dash));
      int to = dash < 0 ? from : Integer.parseInt(part.substring(dash + 1));
      if (from < 0 || to < from || to - from >= most || out.size() + to - from >= most) {
        throw new IllegalArgumentException("not block numbers: " + text);
      }
      for (int i = from; i <= to; i++) {
        out.add(i);
      }
    }
    return out;
  }

  /** Block numbers by league, in ascending order and without duplicates. */
  public static Map<String, IntList> blockNumbersByLeague(Collection<BlockKey> keys) {
    Map<String, IntList> out = new TreeMap<>();
    keys.stream()
        .sorted()
        .distinct()
        .forEach(k -> out.computeIfAbsent(k.league(), l -> new IntArrayList()).add(k.index()));
    return out;
  }
}
