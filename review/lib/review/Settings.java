package review;

import java.util.ArrayList;
import java.util.List;

/** The deployment: a small one like cascade-gambit-ops (BRIEF-mallowroad.md), with two teams. */
final class Settings {
  /** A team with its guarantee and its limit in CPUs; 0 is none. */
  record Team(String name, double cpus, double cpusMax) {}

  /** A machine type that the cloud offers, and how many machines of it there are in all. */
  record Build(
      String name, double cpus, double memGb, double localGb, double fetchGbPerS, double price,
      double bootS, int count) {}

  int nodes = 3;
  List<String> zones = List.of("puget-north", "puget-south", "willamette");
  List<Team> teams =
      List.of(
          new Team("ratings-desk", 64, 112),
          new Team("go-teachers", 64, 192),
          new Team("tacoma-puzzle-guild", 0, 0));
  List<Build> builds = new ArrayList<>(List.of(new Build("rook-large", 32, 256, 100, 1, 2.3, 3, 6)));
  int machinesAtStart = 2;
  double reportS = 3;
  double leaseS = 26;
  double cancelS = 51;
  double stateRps = 150;
  double stateWriteRps = 40;
  double valueKb = 8;
  int txnOps = 16;
  double cloudRps = 8;
  double listLagS = 8;
  double coreShare = 0.44;
  double ramMb = 320;
  int maxSockets = 2000;
  String extra = "";

  String zone(int node) {
    return zones.get(node % zones.size());
  }

  /** The settings file of one controller. */
  String toml(int node, List<String> listen, List<String> peers, String cloud, String state) {
    StringBuilder out = new StringBuilder();
    out.append("node_name = \"hearth-").append(node).append("\"\n");
    out.append("site = \"").append(zone(node)).append("\"\n");
    out.append("listen = \"").append(listen.get(node)).append("\"\n");
    out.append("peer_listen = \"").append(peers.get(node)).append("\"\n\n");
    for (int other = 0; other < nodes; other++) {
      if (other != node) {
        out.append("[[members]]\nnode_name = \"hearth-").append(other).append("\"\n");
        out.append("site = \"").append(zone(other)).append("\"\n");
        out.append("endpoint = \"").append(peers.get(other)).append("\"\n\n");
      }
    }
    out.append("[outside]\ncloud = \"").append(cloud).append("\"\n");
    out.append("state = \"").append(state).append("\"\n\n");
    out.append("[params]\ncount = ").append(nodes).append("\nzones = [");
    for (int i = 0; i < zones.size(); i++) {
      out.append(i == 0 ? "" : ", ").append('"').append(zones.get(i)).append('"');
    }
    out.append("]\ntime_bound_ms = 250.0\n\n");
    for (Team team : teams) {
      out.append("[[params.teams]]\nname = \"").append(team.name).append("\"\n");
      out.append("cpus = ").append(team.cpus).append("\ncpus_max = ").append(team.cpusMax);
      out.append("\ngpus = 0.0\ngpus_max = 0.0\n\n");
    }
    out.append("[params.workers]\nreport_s = ").append(reportS).append("\nlease_s = ");
    out.append(leaseS).append("\ngang_wait_s = 45.0\ngang_peer_s = 8.0\ncancel_s = ");
    out.append(cancelS).append("\n\n[params.state]\nrps = ").append(stateRps);
    out.append("\nwrite_rps = ").append(stateWriteRps).append("\nvalue_kb = ").append(valueKb);
    out.append("\ntxn_ops = ").append(txnOps).append("\n\n").append(extra);
    out.append("[params.cloud]\nrps = ").append(cloudRps).append("\nlist_lag_s = ");
    out.append(listLagS).append("\n\n[params.resources]\ncore_share = ").append(coreShare);
    out.append("\nram_mb = ").append(ramMb).append("\nmax_sockets = ").append(maxSockets);
    out.append("\n");
    return out.toString();
  }
}
