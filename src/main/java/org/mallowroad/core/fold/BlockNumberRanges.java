package org.mallowroad.core.fold;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * Encodes sets of block numbers as short text, such as {@code 3-9,12}, since one record may contain
 * hundreds of them.
 */
public final class BlockNumberRanges {
  private BlockNumberRanges() {}

  /** Encodes block numbers, which must be in ascending order. */
  public static String encode(IntList numbers) {
    StringBuilder text = new StringBuilder();
    for (int first = 0; first < numbers.size(); ) {
      int last = first;
      while (last + 1 < numbers.size() && numbers.getInt(last + 1) == numbers.getInt(last) + 1) {
        last++;
      }
      text.append(text.length() > 0 ? "," : "").append(numbers.getInt(first));
      if (last > first) {
        text.append('-').append(numbers.getInt(last));
      }
      first = last + 1;
    }
    return text.toString();
  }

  /**
   * Decodes block numbers.
   *
   * @param limit maximum number of block numbers that the text may contain
   * @throws IllegalArgumentException if the text is malformed or names too many numbers
   */
  public static IntList decode(String text, int limit) {
    IntList numbers = new IntArrayList();
    for (String part : text.split(",")) {
      int dash = part.indexOf('-');
      int from = Integer.parseInt(dash < 0 ? part : part.substring(0, dash));
      int to = dash < 0 ? from : Integer.parseInt(part.substring(dash + 1));
      if (from < 0 || to < from || to - from >= limit || numbers.size() + to - from >= limit) {
        throw new IllegalArgumentException("invalid block numbers: " + text);
      }
      for (int number = from; number <= to; number++) {
        numbers.add(number);
      }
    }
    return numbers;
  }

  /** Groups block numbers by league, in ascending order and without duplicates. */
  public static Map<String, IntList> blockNumbersByLeague(Collection<BlockKey> keys) {
    Map<String, IntList> blockNumbers = new TreeMap<>();
    keys.stream()
        .sorted()
        .distinct()
        .forEach(
            key ->
                blockNumbers
                    .computeIfAbsent(key.league(), league -> new IntArrayList())
                    .add(key.index()));
    return blockNumbers;
  }
}
