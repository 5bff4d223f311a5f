package org.mallowroad.core;

/**
 * The messages of this term that carried the launch of one attempt. While one of them may still
 * reach the worker, the absence of the attempt from a heartbeat does not prove that it is gone.
 *
 * <ul>
 *   <li>A heartbeat response is dropped by the worker once it has sent a later heartbeat, since it
 *       has one heartbeat in flight at a time. Answers to direct commands show nothing of this:
 *       they overtake a response that is still on its way.
 *   <li>A direct command, or a late duplicate of one that was answered, may be executed at any
 *       later time, unless the worker has seen a higher fencing token. An answer to the command
 *       proves nothing: a worker that has restarted since does not remember the attempt.
 * </ul>
 *
 * <p>Messages of earlier terms need no record here: a worker that has seen this term's token
 * rejects them.
 */
public final class LaunchMessages {
  private static final long NONE = -1;

  private boolean sent;
  private long lastResponseSequence = NONE;
  private long commandToken = NONE;

  LaunchMessages() {}

  /** Records that the response to the heartbeat with this sequence number carries the launch. */
  public void recordResponse(long heartbeatSequence) {
    sent = true;
    lastResponseSequence = Math.max(lastResponseSequence, heartbeatSequence);
  }

  /** Records that a direct command with this fencing token carries the launch. */
  void recordCommand(long fencingToken) {
    sent = true;
    commandToken = Math.max(commandToken, fencingToken);
  }

  /** Records that the direct command certainly never left this process. */
  void recordCommandNotSent() {
    commandToken = NONE;
  }

  /** True once a message was created that carries the launch. */
  public boolean isSent() {
    return sent;
  }

  /** True once a heartbeat response has carried the launch. */
  boolean wasInResponse() {
    return lastResponseSequence != NONE;
  }

  /**
   * True while a heartbeat response may still start the attempt.
   *
   * @param reportSequence sequence number of the newest heartbeat that the worker sent by itself in
   *     the attempt's session
   */
  boolean mayArriveInResponse(long reportSequence) {
    return lastResponseSequence >= reportSequence;
  }

  /**
   * True while a direct command, or a duplicate of it, may still start the attempt.
   *
   * @param tokenSeen highest fencing token that the worker has seen, by its own account
   */
  boolean mayArriveInCommand(long tokenSeen) {
    return commandToken != NONE && commandToken >= tokenSeen;
  }
}
