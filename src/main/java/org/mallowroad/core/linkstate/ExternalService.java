package org.mallowroad.core.linkstate;

/**
 * Services outside the controllers that a call can also reach by way of another controller. The
 * names of the constants are part of the protocol between controllers.
 */
public enum ExternalService {
  /** The state service. */
  STATE,
  /** The cloud. */
  CLOUD
}
