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
  public String node() {
    return node;
  }

  @Override
  public void picture(Consumer<NodeSnapshot> done) {
    loop.submit(() -> publisher.snapshot(done));
  }

  @Override
  public void job(String id, Consumer<JobSnapshot> done) {
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
  public void soon(Runnable task) {
    loop.submit(task);
  }

  @Override
  public Thread thread() {
    return environment.loopThread();
  }
}
