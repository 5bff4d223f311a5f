package org.mallowroad.core;

/**
 * Fencing tokens. Workers reject messages with a lower token than the highest they have seen. Each
 * leadership term owns a block of tokens: the first identifies the term, the others are for raising
 * the token of a single worker within the term. Blocks do not overlap, so every token of a later
 * term is higher than all tokens of an earlier one.
 */
public final class FencingTokens {
  /** Tokens per term: enough to raise a worker's token every ten seconds for four months. */
  public static final long TOKENS_PER_TERM = 1L << 20;

  private FencingTokens() {}

  /** The last token of a term's block. */
  public static long last(long term) {
    return term + TOKENS_PER_TERM - 1;
  }
}
