package org.mallowroad.core.linkstate;

/**
 * External services that a controller can call directly or through another controller. The names of
 * the constants are part of the protocol between controllers.
 */
public enum ExternalService {
  /** The service that stores the scheduler's records. */
  STATE,
  /** The API of the cloud provider, through which machines are rented and deleted. */
  CLOUD
}
