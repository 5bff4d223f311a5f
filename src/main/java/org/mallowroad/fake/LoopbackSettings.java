package org.mallowroad.fake;

import java.util.List;
import org.mallowroad.config.Settings;
import org.mallowroad.config.Settings.Endpoint;
import org.mallowroad.config.Settings.Member;
import org.mallowroad.config.Settings.TeamSetting;

/** Settings for controllers that all run on this machine, on free ports and with ample limits. */
public final class LoopbackSettings {
  private static final String HOST = "127.0.0.1";

  private final List<String> zones;
  private final List<TeamSetting> teams;
  private final int cloudPort;
  private final int statePort;
  private final double heartbeatIntervalS;
  private final double leaseS;

  /** Creates settings for controllers that use the given fake cloud and fake state service. */
  public LoopbackSettings(
      List<String> zones,
      List<TeamSetting> teams,
      FakeCloud cloud,
      FakeStateService state,
      double heartbeatIntervalS,
      double leaseS) {
    this.zones = zones;
    this.teams = teams;
    this.cloudPort = cloud.port();
    this.statePort = state.port();
    this.heartbeatIntervalS = heartbeatIntervalS;
    this.leaseS = leaseS;
  }

  /**
   * The settings of one of several controllers. The list of members holds only a placeholder, and
   * the other controllers are known by their number alone, because no port is known before its node
   * listens.
   */
  public Settings settingsForNode(int index, int nodeCount) {
    Endpoint anyPort = new Endpoint(HOST, 0);
    Member placeholderPeer = new Member("elsewhere", zones.get(0), new Endpoint(HOST, 1));
    return new Settings(
        "n" + index,
        zones.get(index % zones.size()),
        anyPort,
        anyPort,
        List.of(placeholderPeer),
        new Endpoint(HOST, cloudPort),
        new Endpoint(HOST, statePort),
        zones,
        teams,
        List.of(),
        heartbeatIntervalS,
        leaseS,
        2 * leaseS + 2,
        1_000,
        1_000,
        8,
        16,
        100,
        0,
        1_000,
        64,
        nodeCount);
  }
}
