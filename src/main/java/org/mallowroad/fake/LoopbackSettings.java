package org.mallowroad.fake;

import java.util.List;
import org.mallowroad.config.Settings;
import org.mallowroad.config.Settings.Endpoint;
import org.mallowroad.config.Settings.Member;
import org.mallowroad.config.Settings.TeamSetting;

/** Settings of controllers that all run on this machine, on any ports, with ample limits. */
public final class LoopbackSettings {
  private static final String HOST = "127.0.0.1";

  private final List<String> zones;
  private final List<TeamSetting> teams;
  private final int cloudPort;
  private final int statePort;
  private final double heartbeatIntervalS;
  private final double leaseS;

  /** Of a site with stand-ins. */
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
   * One of several controllers; the others are told of it by their number alone, since no port is
   * known before its node listens.
   */
  public Settings settingsForNode(int i, int of) {
    Endpoint any = new Endpoint(HOST, 0);
    Member elsewhere = new Member("elsewhere", zones.get(0), new Endpoint(HOST, 1));
    return new Settings(
        "n" + i,
        zones.get(i % zones.size()),
        any,
        any,
        List.of(elsewhere),
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
        of);
  }
}
