package org.mallowroad.api;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Whoever asked, whether over HTTP or through another controller. */
@FunctionalInterface
public interface Responder {
  /** Gives the one answer; with {@code later} the asker is told to come back. */
  void answer(int status, ObjectNode body, boolean later);
}
