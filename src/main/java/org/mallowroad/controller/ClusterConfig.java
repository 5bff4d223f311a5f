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
 * What a node knows of its cluster: settings, machine types, teams, and names as small indices.
 *
 * <p>Users make up names of images, classes and types. Their number is bounded: {@link
 * #forgetUnusedNames} gives the indices of unused ones to others. Confined to the event loop,
 * except the settings, which do not change.
 */
public final class ClusterConfig implements MachineTypeCatalog, RecordDecodingContext {
  /** With more names than this, those that nothing uses any more are forgotten. */
  static final int MAX_NAMES = 2_000;

  final Settings settings;
  final OperatorSettings operator;
  final NameIndex zones = new NameIndex();
  final NameIndex types = new NameIndex();
  final NameIndex teamNames = new NameIndex();
  final NameIndex images = new NameIndex();
  final NameIndex classes = new NameIndex();
  final JobCodec codec;
  final ServiceLevelObjectives objectives = new ServiceLevelObjectives();

  /** Classes that the settings name; their indices come first and are never forgotten. */
  private final int settingsClasses;

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
        case "finished" -> objectives.requireCompletion(classes.intern(o.taskClass()), o.withinS());
        case "wait" -> objectives.requireStart(classes.intern(o.taskClass()), o.withinS());
        case "deadline" -> objectives.requireDeadline(classes.intern(o.taskClass()));
        case "guarantee" -> objectives.requireGuaranteedStart(o.withinS());
        default -> {} // Kinds that do not concern starting or finishing.
      }
    }
    settingsClasses = classes.size();
  }

  /** The number of known names of images, classes and types. */
  int nameCount() {
    return images.size() + classes.size() + types.size();
  }

  /**
   * Forgets the names of images, classes and types that no job and no machine uses any more, nor
   * the settings, nor the cloud; does nothing while there are few names.
   */
  void forgetUnusedNames(SchedulerState schedulerState) {
    if (nameCount() < MAX_NAMES) {
      return;
    }
    BitSet usedImages = new BitSet();
    BitSet usedClasses = new BitSet();
    BitSet usedTypes = new BitSet();
    usedClasses.set(0, settingsClasses);
    machineTypes.forEach(t -> usedTypes.set(t.index()));
    schedulerState.markUsedNames(usedImages, usedClasses, usedTypes);
    images.retain(usedImages);
    classes.retain(usedClasses);
    schedulerState.health().stragglerDetector().retainTaskClasses(usedClasses);
    types.retain(usedTypes);
  }

  /** Decodes submissions. */
  @Override
  public JobCodec jobCodec() {
    return codec;
  }

  /** The zones, as the indices that machines and attempts carry. */
  @Override
  public NameIndex zones() {
    return zones;
  }

  /** The settings. */
  public Settings settings() {
    return settings;
  }

  /** The teams of the settings, with nothing used; new objects at each call. */
  List<Team> newTeams() {
    List<Team> teams = new ArrayList<>();
    for (Settings.TeamSetting t : settings.teams()) {
      teams.add(new Team(t.name(), t.cpus(), t.cards(), t.cpusMax(), t.cardsMax()));
    }
    return teams;
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
  public MachineType machineType(String name) {
    for (MachineType t : machineTypes) {
      if (t.name().equals(name)) {
        return t;
      }
    }
    return null;
  }

  /** Why the job could never run on this cluster, even if it were empty, or null if it could. */
  public String rejectionReason(JobSpec s) {
    if (s.team() < 0) {
      return "unknown team";
    }
    Team team = newTeams().get(s.team());
    if (!team.canEverRun(s, s.service() || s.gang() ? s.tasks() : 1)) {
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
