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
import org.mallowroad.core.fold.BlockNumberRanges;

/**
 * The dependencies of a job, in submissions and in records: jobs that must be over, and games of
 * leagues up to which all must be folded, before it is started.
 */
public final class DependencyCodec {
  /** The field of a submission, and of a record. */
  public static final String DEPENDENCIES = "holds";

  /** The most jobs that one submission may depend on. */
  public static final int MAX_JOBS = 500;

  /** The most games, each of a league or a member, that one submission may depend on. */
  public static final int MAX_GAMES = 64;

  /** The most different leagues among them: each is a condition of every start's transaction. */
  public static final int MAX_LEAGUES = 16;

  private static final String JOBS = "jobs";
  private static final String GAMES = "games";
  private static final String LEAGUE = "league";
  private static final String MEMBER = "member";
  private static final String UP_TO = "up_to";

  private DependencyCodec() {}

  /** Decodes the dependencies in a submission or record; the folds of the result are empty. */
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
    ArrayNode a = Json.requiredArray(n, JOBS);
    if (a.size() > MAX_JOBS) {
      throw new InvalidMessageException(JOBS + ": at most " + MAX_JOBS + " jobs");
    }
    Set<String> out = new LinkedHashSet<>();
    for (JsonNode j : a) {
      if (!j.isTextual() || !JobCodec.ID_PATTERN.matcher(j.textValue()).matches()) {
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
    ArrayNode a = Json.requiredArray(n, GAMES);
    if (a.size() > MAX_GAMES) {
      throw new InvalidMessageException(GAMES + ": at most " + MAX_GAMES + " of them");
    }
    List<RequiredGames> out = new ArrayList<>();
    for (int i = 0; i < a.size(); i++) {
      try {
        out.add(game(a.get(i)));
      } catch (InvalidMessageException e) {
        throw new InvalidMessageException(GAMES + "[" + i + "]." + e.getMessage());
      }
    }
    if (out.stream().map(RequiredGames::league).distinct().count() > MAX_LEAGUES) {
      throw new InvalidMessageException(GAMES + ": at most " + MAX_LEAGUES + " leagues");
    }
    return List.copyOf(out);
  }

  private static RequiredGames game(JsonNode g) throws InvalidMessageException {
    String league = Json.requiredString(g, LEAGUE, FoldCodec.MAX_LEAGUE_LENGTH);
    String member = Json.optionalString(g, MEMBER, FoldCodec.MAX_MEMBER_LENGTH);
    if (!FoldCodec.LEAGUE.matcher(league).matches()) {
      throw new InvalidMessageException(
          "league: letters, digits, dots, dashes and underscores are needed");
    }
    if (member != null && !FoldCodec.MEMBER.matcher(member).matches()) {
      throw new InvalidMessageException(
          "member: letters, digits, dots, dashes and underscores are needed");
    }
    return new RequiredGames(
        league, Json.requiredInteger(g, UP_TO, 0, FoldCodec.MAX_NUMBER), member);
  }

  /**
   * Encodes the record of a job with dependencies that is not over. Cycles are found by it when
   * another job with dependencies is submitted.
   */
  public static ObjectNode encodeRecord(JobDependencies t) {
    ObjectNode o = Json.object();
    ObjectNode h = o.putObject(DEPENDENCIES);
    ArrayNode jobs = h.putArray(JOBS);
    t.requiredJobs().forEach(jobs::add);
    ArrayNode games = h.putArray(GAMES);
    for (RequiredGames g : t.requiredGames()) {
      ObjectNode x = games.addObject().put(LEAGUE, g.league()).put(UP_TO, g.lastGame());
      if (g.member() != null) {
        x.put(MEMBER, g.member());
      }
    }
    ObjectNode folds = o.putObject(FoldCodec.BLOCKS);
    t.foldedBlocks().forEach((l, n) -> folds.put(l, BlockNumberRanges.encode(n)));
    return o;
  }

  /** Decodes such a record. */
  public static JobDependencies decodeRecord(JsonNode record) throws InvalidMessageException {
    JobDependencies h = decodeDependencies(record);
    return new JobDependencies(
        FoldCodec.decodeBlockKeys(record), h.requiredJobs(), h.requiredGames());
  }
}
