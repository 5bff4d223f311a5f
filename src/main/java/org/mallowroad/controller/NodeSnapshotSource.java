package org.mallowroad.controller;

import java.util.function.Consumer;
import org.mallowroad.console.SnapshotSource;
import org.mallowroad.core.explain.JobSnapshot;
import org.mallowroad.core.explain.NodeSnapshot;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.NodeEnvironment;

/** Gives the console access to this node: runs the console's requests on the event loop. */
final class NodeSnapshotSource implements SnapshotSource {
  private final NodeEnvironment environment;
  private final EventLoop loop;
  private final String node;
  private final SnapshotPublisher publisher;

  NodeSnapshotSource(NodeEnvironment environment, String node, SnapshotPublisher publisher) {
    this.environment = environment;
    this.loop = environment.loop();
    this.node = node;
    this.publisher = publisher;
  }

  @Override
  public String nodeName() {
    return node;
  }

  @Override
  public void requestSnapshot(Consumer<NodeSnapshot> done) {
    loop.submit(() -> publisher.snapshot(done));
  }

  @Override
  public void requestJob(String id, Consumer<JobSnapshot> done) {
    loop.submit(
        () -> {
          // Answers even if building the snapshot fails, because the console counts its unanswered
          // requests.
          JobSnapshot snapshot = SnapshotPublisher.unknownJob(id);
          try {
            snapshot = publisher.job(id);
          } finally {
            done.accept(snapshot);
          }
        });
  }

  @Override
  public void submit(Runnable task) {
    loop.submit(task);
  }

  @Override
  public Thread loopThread() {
    return environment.loopThread();
  }
}
