package org.mallowroad.core.linkstate;

/** Parties that a call can also reach by way of another controller. */
public enum ExternalService {
  /** The state service. */
  STATE,
  /** The cloud. */
  CLOUD
}
