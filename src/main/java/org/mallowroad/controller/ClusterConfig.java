package org.mallowroad.controller;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.mallowroad.config.OperatorSettings;
import org.mallowroad.config.Settings;
import org.mallowroad.controller.persistence.RecordDecodingContext;
import org.mallowroad.controller.provisioning.MachineTypeCatalog;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.Team;
import org.mallowroad.core.objective.ServiceLevelObjectives;
import org.mallowroad.wire.JobCodec;

/**
 * A node's configuration of its cluster: settings, machine types, teams, and the mapping of names
 * to small indices.
 *
 * <p>Users choose the names of images, task classes and machine types freely. {@link
 * #forgetUnusedNames} bounds their number by reusing the indices of unused names. Confined to the
 * event loop, except for the settings, which are immutable.
 */
public final class ClusterConfig implements MachineTypeCatalog, RecordDecodingContext {
  /** Once there are this many names, unused ones are removed. */
  static final int MAX_NAMES = 2_000;

  final Settings settings;
  final OperatorSettings operatorSettings;
  final NameIndex zones = new NameIndex();
  final NameIndex typeNames = new NameIndex();
  final NameIndex teamNames = new NameIndex();
  final NameIndex imageNames = new NameIndex();
  final NameIndex taskClassNames = new NameIndex();
  final JobCodec codec;
  final ServiceLevelObjectives objectives = new ServiceLevelObjectives();

  /**
   * Number of task classes named in the settings; they have the lowest indices and are never
   * removed.
   */
  private final int configuredClassCount;

  private List<MachineType> machineTypes = List.of();

  /** Creates the configuration from the node's and the operator's settings. */
  public ClusterConfig(Settings settings, OperatorSettings operator) {
    this.settings = settings;
    this.operatorSettings = operator;
    settings.zones().forEach(zones::intern);
    settings.teams().forEach(team -> teamNames.intern(team.name()));
    codec = new JobCodec(teamNames, zones, typeNames, imageNames, taskClassNames);
    for (Settings.Objective objective : settings.objectives()) {
      switch (objective.kind()) {
        case "finished" ->
            objectives.requireCompletion(
                taskClassNames.intern(objective.taskClass()), objective.withinS());
        case "wait" ->
            objectives.requireStart(
                taskClassNames.intern(objective.taskClass()), objective.withinS());
        case "deadline" -> objectives.requireDeadline(taskClassNames.intern(objective.taskClass()));
        case "guarantee" -> objectives.requireGuaranteedStart(objective.withinS());
        default -> {} // Other kinds do not concern the start or the completion of jobs.
      }
    }
    configuredClassCount = taskClassNames.size();
  }

  /** The number of known names of images, task classes and machine types. */
  int nameCount() {
    return imageNames.size() + taskClassNames.size() + typeNames.size();
  }

  /**
   * Removes the names of images, task classes and machine types that are no longer used by any job,
   * machine, setting or machine type of the cloud. Does nothing below {@link #MAX_NAMES} names.
   */
  void forgetUnusedNames(SchedulerState schedulerState) {
    if (nameCount() < MAX_NAMES) {
      return;
    }
    BitSet usedImages = new BitSet();
    BitSet usedClasses = new BitSet();
    BitSet usedTypes = new BitSet();
    usedClasses.set(0, configuredClassCount);
    machineTypes.forEach(machineType -> usedTypes.set(machineType.index()));
    schedulerState.markUsedNames(usedImages, usedClasses, usedTypes);
    imageNames.retain(usedImages);
    taskClassNames.retain(usedClasses);
    schedulerState.health().stragglerDetector().retainTaskClasses(usedClasses);
    typeNames.retain(usedTypes);
  }

  /** The codec that decodes submissions. */
  @Override
  public JobCodec jobCodec() {
    return codec;
  }

  /** The index of zone names; machines and attempts refer to zones by these indices. */
  @Override
  public NameIndex zones() {
    return zones;
  }

  /** The node's settings; safe to use from any thread. */
  public Settings settings() {
    return settings;
  }

  /**
   * Creates the teams of the settings, with no resources in use; returns new objects on each call.
   */
  List<Team> createTeams() {
    List<Team> teams = new ArrayList<>();
    for (Settings.TeamSetting setting : settings.teams()) {
      teams.add(
          new Team(
              setting.name(),
              setting.cpus(),
              setting.gpus(),
              setting.cpusMax(),
              setting.gpusMax()));
    }
    return teams;
  }

  /** The most recently read machine types; empty until the first successful read. */
  @Override
  public List<MachineType> machineTypes() {
    return machineTypes;
  }

  @Override
  public void replaceMachineTypes(List<MachineType> types) {
    machineTypes = types;
  }

  @Override
  public MachineType machineType(String name) {
    for (MachineType machineType : machineTypes) {
      if (machineType.name().equals(name)) {
        return machineType;
      }
    }
    return null;
  }

  /**
   * The reason why the job could never run on this cluster, even with all resources free, or null
   * if it could.
   */
  public String rejectionReason(JobSpec spec) {
    if (spec.team() < 0) {
      return "unknown team";
    }
    Team team = createTeams().get(spec.team());
    if (!team.canEverRun(spec, spec.service() || spec.gang() ? spec.tasks() : 1)) {
      return "more than the team's limit";
    }
    for (MachineType machineType : machineTypes) {
      if (!spec.allowsType(machineType.index()) || !machineType.fits(spec)) {
        continue;
      }
      if (spec.zone() < 0 ? machineType.zones().length > 0 : machineType.isOfferedIn(spec.zone())) {
        return null;
      }
    }
    return "a task fits no allowed machine type";
  }
}
