package org.mallowroad.core;

/**
 * A term of leadership is a block of tokens. Its first one is the term's name; the others are for
 * raising the token of a single worker within the term. Blocks do not overlap, so any token of a
 * later term is above all of an earlier one.
 */
public final class FencingTokens {
  /** Tokens of a term: a worker's may be raised every ten seconds for four months. */
  public static final long TOKENS_PER_TERM = 1L << 20;

  private FencingTokens() {}

  /** The last token of a term. */
  public static long last(long term) {
    return term + TOKENS_PER_TERM - 1;
  }
}
