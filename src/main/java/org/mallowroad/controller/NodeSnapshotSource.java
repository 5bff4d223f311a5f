package org.mallowroad.controller;

import java.util.function.Consumer;
import org.mallowroad.console.SnapshotSource;
import org.mallowroad.core.explain.JobSnapshot;
import org.mallowroad.core.explain.NodeSnapshot;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.NodeEnvironment;

/** This node as its console sees it: hands the console's questions to the event loop. */
final class NodeSnapshotSource implements SnapshotSource {
  private final NodeEnvironment host;
  private final EventLoop loop;
  private final String node;
  private final SnapshotPublisher publisher;

  NodeSnapshotSource(NodeEnvironment host, String node, SnapshotPublisher publisher) {
    this.host = host;
    this.loop = host.loop();
    this.node = node;
    this.publisher = publisher;
  }

  @Override
  public String node() {
    return node;
  }

  @Override
  public void picture(Consumer<NodeSnapshot> done) {
    loop.soon(() -> publisher.snapshot(done));
  }

  @Override
  public void job(String id, Consumer<JobSnapshot> done) {
    loop.soon(
        () -> {
          // The console is answered in any case: it counts the questions that are out.
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
    loop.soon(task);
  }

  @Override
  public Thread thread() {
    return host.thread();
  }
}
