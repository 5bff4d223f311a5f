package org.mallowroad.core;

import java.util.Locale;

/** How a heartbeat reached the leader. */
public enum HeartbeatSource {
  /** The worker sent it by itself, so the leader's response can renew the worker's lease. */
  REPORT,
  /** It is the body of the answer to direct commands, which renews nothing. */
  COMMAND_RESPONSE;

  /** The name in logs and metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
