package org.mallowroad.controller;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.mallowroad.config.OperatorSettings;
import org.mallowroad.config.Settings;
import org.mallowroad.controller.provisioning.MachineTypeCatalog;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.Team;
import org.mallowroad.core.objective.ServiceLevelObjectives;
import org.mallowroad.wire.JobCodec;

/** What a node knows of its deployment: names as indices, machine types, teams. */
public final class ClusterConfig implements MachineTypeCatalog {
  /** More names than this, and those that nothing uses any more are forgotten. */
  static final int MOST_NAMES = 2_000;

  final Settings settings;
  final OperatorSettings operator;
  final NameIndex zones = new NameIndex();
  final NameIndex types = new NameIndex();
  final NameIndex teamNames = new NameIndex();
  final NameIndex images = new NameIndex();
  final NameIndex classes = new NameIndex();
  final JobCodec codec;
  final ServiceLevelObjectives objectives = new ServiceLevelObjectives();
  private final int ownClasses;
  private List<MachineType> machineTypes = List.of();

  /** From the settings. */
  public ClusterConfig(Settings settings, OperatorSettings operator) {
    this.settings = settings;
    this.operator = operator;
    settings.zones().forEach(zones::intern);
    settings.teams().forEach(t -> teamNames.intern(t.name()));
    codec = new JobCodec(teamNames, zones, types, images, classes);
    for (Settings.Objective o : settings.objectives()) {
      switch (o.kind()) {
        case "finished" -> objectives.finished(classes.intern(o.taskClass()), o.withinS());
        case "wait" -> objectives.started(classes.intern(o.taskClass()), o.withinS());
        case "deadline" -> objectives.deadline(classes.intern(o.taskClass()));
        case "guarantee" -> objectives.guarantee(o.withinS());
        default -> {} // Kinds that do not concern starting or finishing.
      }
    }
    ownClasses = classes.size();
  }

  /** How many names users have made up are known, with those of the settings and the cloud. */
  int names() {
    return images.size() + classes.size() + types.size();
  }

  /**
   * Forgets the names of images, classes and types that no job and no machine of the ledger has any
   * more, nor the settings, nor the cloud.
   */
  void keepNames(SchedulerState schedulerState) {
    if (names() < MOST_NAMES) {
      return;
    }
    BitSet usedImages = new BitSet();
    BitSet usedClasses = new BitSet();
    BitSet usedTypes = new BitSet();
    usedClasses.set(0, ownClasses);
    machineTypes.forEach(t -> usedTypes.set(t.index()));
    schedulerState.markUsedNames(usedImages, usedClasses, usedTypes);
    images.retain(usedImages);
    classes.retain(usedClasses);
    schedulerState.health().stragglerDetector().retainTaskClasses(usedClasses);
    types.retain(usedTypes);
  }

  /** Decodes submissions. */
  public JobCodec codec() {
    return codec;
  }

  /** The zones, as the indices that machines and attempts carry. */
  public NameIndex zones() {
    return zones;
  }

  /** The settings. */
  public Settings settings() {
    return settings;
  }

  /** Teams with nothing used. */
  List<Team> teams() {
    List<Team> out = new ArrayList<>();
    for (Settings.TeamSetting t : settings.teams()) {
      out.add(new Team(t.name(), t.cpus(), t.cards(), t.cpusMax(), t.cardsMax()));
    }
    return out;
  }

  /** The machine types as last read; empty before the first answer. */
  @Override
  public List<MachineType> machineTypes() {
    return machineTypes;
  }

  @Override
  public void replaceMachineTypes(List<MachineType> types) {
    machineTypes = types;
  }

  @Override
  public MachineType type(String name) {
    for (MachineType t : machineTypes) {
      if (t.name().equals(name)) {
        return t;
      }
    }
    return null;
  }

  /** Why the job can never run, or null. */
  public String hopeless(JobSpec s) {
    if (s.team() < 0) {
      return "unknown team";
    }
    Team team = teams().get(s.team());
    if (!team.couldEverRun(s, s.service() || s.gang() ? s.tasks() : 1)) {
      return "more than the team's limit";
    }
    for (MachineType t : machineTypes) {
      if (!s.allowsType(t.index()) || !t.fits(s)) {
        continue;
      }
      if (s.zone() < 0 ? t.zones().length > 0 : t.isOfferedIn(s.zone())) {
        return null;
      }
    }
    return "a task fits no allowed machine type";
  }
}
