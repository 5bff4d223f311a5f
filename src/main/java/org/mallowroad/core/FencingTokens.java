package org.mallowroad.core;

/**
 * Fencing tokens: workers refuse messages with a lower token than they have seen. Each term of
 * leadership has a block of them. The first one names the term; the others are for raising the
 * token of a single worker within the term. Blocks do not overlap, so any token of a later term is
 * above all of an earlier one.
 */
public final class FencingTokens {
  /** Tokens in a term's block: enough to raise a worker's every ten seconds for four months. */
  public static final long TOKENS_PER_TERM = 1L << 20;

  private FencingTokens() {}

  /** The last token of a term. */
  public static long last(long term) {
    return term + TOKENS_PER_TERM - 1;
  }
}
