package org.mallowroad.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mallowroad.core.dependency.JobDependencies;
import org.mallowroad.core.dependency.JobDependencies.RequiredGames;

/** What a job waits for, in submissions and records. */
public final class DependencyCodec {
  /** The field of a submission. */
  public static final String DEPENDENCIES = "holds";

  /** Jobs that one submission may wait for. */
  public static final int MAX_JOBS = 500;

  /** Leagues and members that one submission may wait for. */
  public static final int MAX_GAMES = 64;

  /** Different leagues among them: each is a condition of starts. */
  public static final int MAX_LEAGUES = 16;

  private static final String JOBS = "jobs";
  private static final String GAMES = "games";

  private DependencyCodec() {}

  /** What a submission or record waits for; the folds of the result are empty. */
  public static JobDependencies decodeDependencies(JsonNode o) throws InvalidMessageException {
    JsonNode n = o.get(DEPENDENCIES);
    if (n == null || n.isNull()) {
      return JobDependencies.NONE;
    }
    if (!n.isObject()) {
      throw new InvalidMessageException(DEPENDENCIES + ": an object with jobs and games is needed");
    }
    try {
      JobDependencies t = new JobDependencies(Map.of(), jobs(n), games(n));
      if (!t.isGated()) {
        throw new InvalidMessageException("jobs: at least one job or game is needed");
      }
      return t;
    } catch (InvalidMessageException e) {
      throw new InvalidMessageException(DEPENDENCIES + "." + e.getMessage());
    }
  }

  private static List<String> jobs(JsonNode n) throws InvalidMessageException {
    if (!n.hasNonNull(JOBS)) {
      return List.of();
    }
    ArrayNode a = Json.list(n, JOBS);
    if (a.size() > MAX_JOBS) {
      throw new InvalidMessageException(JOBS + ": at most " + MAX_JOBS + " jobs");
    }
    Set<String> out = new LinkedHashSet<>();
    for (JsonNode j : a) {
      if (!j.isTextual() || !JobCodec.ID.matcher(j.textValue()).matches()) {
        throw new InvalidMessageException(JOBS + ": job ids are needed");
      }
      out.add(j.textValue());
    }
    return List.copyOf(out);
  }

  private static List<RequiredGames> games(JsonNode n) throws InvalidMessageException {
    if (!n.hasNonNull(GAMES)) {
      return List.of();
    }
    ArrayNode a = Json.list(n, GAMES);
    if (a.size() > MAX_GAMES) {
      throw new InvalidMessageException(GAMES + ": at most " + MAX_GAMES + " of them");
    }
    List<RequiredGames> out = new ArrayList<>();
    for (int i = 0; i < a.size(); i++) {
      JsonNode g = a.get(i);
      String at = GAMES + "[" + i + "].";
      try {
        String league = Json.string(g, "league", 64);
        String member = Json.stringOrNull(g, "member", 24);
        if (!FoldCodec.LEAGUE.matcher(league).matches()) {
          throw new InvalidMessageException(
              "league: letters, digits, dots, dashes and underscores are needed");
        }
        if (member != null && !FoldCodec.MEMBER.matcher(member).matches()) {
          throw new InvalidMessageException(
              "member: letters, digits, dots, dashes and underscores are needed");
        }
        out.add(
            new RequiredGames(league, Json.integer(g, "up_to", 0, FoldCodec.MAX_NUMBER), member));
      } catch (InvalidMessageException e) {
        throw new InvalidMessageException(at + e.getMessage());
      }
    }
    if (out.stream().map(RequiredGames::league).distinct().count() > MAX_LEAGUES) {
      throw new InvalidMessageException(GAMES + ": at most " + MAX_LEAGUES + " leagues");
    }
    return List.copyOf(out);
  }

  /** The record of a held job that is not over: what the next held job is judged by. */
  public static ObjectNode encodeRecord(JobDependencies t) {
    ObjectNode o = Json.object();
    ObjectNode h = o.putObject(DEPENDENCIES);
    ArrayNode jobs = h.putArray(JOBS);
    t.requiredJobs().forEach(jobs::add);
    ArrayNode games = h.putArray(GAMES);
    for (RequiredGames g : t.requiredGames()) {
      ObjectNode x = games.addObject().put("league", g.league()).put("up_to", g.upTo());
      if (g.member() != null) {
        x.put("member", g.member());
      }
    }
    ObjectNode folds = o.putObject(FoldCodec.BLOCKS);
    t.foldedBlocks().forEach((l, n) -> folds.put(l, org.mallowroad.core.fold.Ranges.text(n)));
    return o;
  }

  /** The ties of such a record. */
  public static JobDependencies decodeRecord(JsonNode record) throws InvalidMessageException {
    JobDependencies h = decodeDependencies(record);
    return new JobDependencies(
        FoldCodec.decodeBlockKeys(record), h.requiredJobs(), h.requiredGames());
  }
}
