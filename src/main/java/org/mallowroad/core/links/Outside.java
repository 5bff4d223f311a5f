package org.mallowroad.core.links;

/** Parties that a call can also reach by way of another controller. */
public enum Outside {
  /** The state service. */
  STATE,
  /** The cloud. */
  CLOUD
}
