package org.mallowroad.core;

import java.util.List;
import org.mallowroad.core.image.ImageDistribution;

/** Creates the commands that launch and stop attempts. */
public final class WorkerCommandFactory {
  private final ImageDistribution imageDistribution;

  WorkerCommandFactory(ImageDistribution imageDistribution) {
    this.imageDistribution = imageDistribution;
  }

  /**
   * Launch command for an attempt, with image sources if its worker can fetch from other workers.
   */
  public WorkerCommand launch(Attempt attempt) {
    List<String> imageSources =
        attempt.machine.servesImages ? imageDistribution.imageSources(attempt) : List.of();
    return new WorkerCommand(
        WorkerCommand.Kind.LAUNCH,
        attempt.job.spec.id(),
        attempt.task,
        attempt.number,
        0,
        imageSources);
  }

  /** Stop command for an attempt whose stop was requested. */
  WorkerCommand stop(Attempt attempt) {
    return new WorkerCommand(
        WorkerCommand.Kind.STOP,
        attempt.job.spec.id(),
        attempt.task,
        attempt.number,
        attempt.stopGraceS);
  }
}
