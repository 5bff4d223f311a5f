package org.mallowroad.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against a rehearsal that stops early: the build archives only the classes that the
 * rehearsal loads, so those of the steps that it does not reach would be missing.
 */
final class RehearseTest {
  @Test
  void rehearsalCompletesTakeoverJobAndCancellation() throws Exception {
    assertTrue(Rehearse.play());
  }
}
