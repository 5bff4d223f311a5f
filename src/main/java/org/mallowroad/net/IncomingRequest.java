package org.mallowroad.net;

/** A request that came in complete; it is answered once, now or later, on the loop. */
public interface IncomingRequest {
  /** GET, POST and so on. */
  String method();

  /** The path without a query. */
  String path();

  /** The body, empty where there is none. */
  byte[] body();

  /**
   * Gives the one answer; a second one is left out.
   *
   * @param later true when the asker is told to come back in a second
   */
  void answer(int status, String type, byte[] body, boolean later);
}
