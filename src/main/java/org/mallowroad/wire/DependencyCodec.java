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
 * Decodes and encodes the dependencies of a job, in submissions and in records. Before the job is
 * started, the jobs that it requires must have ended, and all games of a league up to a given
 * number must be folded.
 */
public final class DependencyCodec {
  /** The field of a submission, and of a record, that holds the dependencies. */
  public static final String DEPENDENCIES = "holds";

  /** The maximum number of jobs that one submission may depend on. */
  public static final int MAX_JOBS = 500;

  /** The maximum number of game dependencies in one submission, each for a league or a member. */
  public static final int MAX_GAMES = 64;

  /**
   * The maximum number of distinct leagues among them; each is a condition of every transaction
   * that starts tasks of the job.
   */
  public static final int MAX_LEAGUES = 16;

  private static final String JOBS = "jobs";
  private static final String GAMES = "games";
  private static final String LEAGUE = "league";
  private static final String MEMBER = "member";
  private static final String UP_TO = "up_to";

  private DependencyCodec() {}

  /** Decodes the dependencies in a submission or record; the result has no folded blocks. */
  public static JobDependencies decodeDependencies(JsonNode submission)
      throws InvalidMessageException {
    JsonNode node = submission.get(DEPENDENCIES);
    if (node == null || node.isNull()) {
      return JobDependencies.NONE;
    }
    if (!node.isObject()) {
      throw new InvalidMessageException(DEPENDENCIES + ": an object with jobs and games is needed");
    }
    try {
      JobDependencies dependencies =
          new JobDependencies(Map.of(), decodeJobs(node), decodeGames(node));
      if (!dependencies.isGated()) {
        throw new InvalidMessageException("jobs: at least one job or game is needed");
      }
      return dependencies;
    } catch (InvalidMessageException e) {
      throw new InvalidMessageException(DEPENDENCIES + "." + e.getMessage());
    }
  }

  private static List<String> decodeJobs(JsonNode node) throws InvalidMessageException {
    if (!node.hasNonNull(JOBS)) {
      return List.of();
    }
    ArrayNode array = Json.requiredArray(node, JOBS);
    if (array.size() > MAX_JOBS) {
      throw new InvalidMessageException(JOBS + ": at most " + MAX_JOBS + " jobs");
    }
    Set<String> ids = new LinkedHashSet<>();
    for (JsonNode id : array) {
      if (!id.isTextual() || !JobCodec.ID_PATTERN.matcher(id.textValue()).matches()) {
        throw new InvalidMessageException(JOBS + ": job ids are needed");
      }
      ids.add(id.textValue());
    }
    return List.copyOf(ids);
  }

  private static List<RequiredGames> decodeGames(JsonNode node) throws InvalidMessageException {
    if (!node.hasNonNull(GAMES)) {
      return List.of();
    }
    ArrayNode array = Json.requiredArray(node, GAMES);
    if (array.size() > MAX_GAMES) {
      throw new InvalidMessageException(GAMES + ": at most " + MAX_GAMES + " of them");
    }
    List<RequiredGames> requiredGames = new ArrayList<>();
    for (int i = 0; i < array.size(); i++) {
      try {
        requiredGames.add(decodeRequiredGames(array.get(i)));
      } catch (InvalidMessageException e) {
        throw new InvalidMessageException(GAMES + "[" + i + "]." + e.getMessage());
      }
    }
    if (requiredGames.stream().map(RequiredGames::league).distinct().count() > MAX_LEAGUES) {
      throw new InvalidMessageException(GAMES + ": at most " + MAX_LEAGUES + " leagues");
    }
    return List.copyOf(requiredGames);
  }

  private static RequiredGames decodeRequiredGames(JsonNode node) throws InvalidMessageException {
    String league = Json.requiredString(node, LEAGUE, FoldCodec.MAX_LEAGUE_LENGTH);
    String member = Json.optionalString(node, MEMBER, FoldCodec.MAX_MEMBER_LENGTH);
    if (!FoldCodec.LEAGUE_PATTERN.matcher(league).matches()) {
      throw new InvalidMessageException(
          "league: letters, digits, dots, dashes and underscores are needed");
    }
    if (member != null && !FoldCodec.MEMBER_PATTERN.matcher(member).matches()) {
      throw new InvalidMessageException(
          "member: letters, digits, dots, dashes and underscores are needed");
    }
    return new RequiredGames(
        league, Json.requiredInteger(node, UP_TO, 0, FoldCodec.MAX_GAME_NUMBER), member);
  }

  /**
   * Encodes the dependency record of a job that has not ended. When another job with dependencies
   * is submitted, cycles are detected from these records.
   */
  public static ObjectNode encodeRecord(JobDependencies dependencies) {
    ObjectNode record = Json.object();
    ObjectNode dependenciesNode = record.putObject(DEPENDENCIES);
    ArrayNode jobs = dependenciesNode.putArray(JOBS);
    dependencies.requiredJobs().forEach(jobs::add);
    ArrayNode games = dependenciesNode.putArray(GAMES);
    for (RequiredGames required : dependencies.requiredGames()) {
      ObjectNode gameNode =
          games.addObject().put(LEAGUE, required.league()).put(UP_TO, required.lastGame());
      if (required.member() != null) {
        gameNode.put(MEMBER, required.member());
      }
    }
    ObjectNode folds = record.putObject(FoldCodec.BLOCKS);
    dependencies
        .foldedBlocks()
        .forEach((league, numbers) -> folds.put(league, BlockNumberRanges.encode(numbers)));
    return record;
  }

  /** Decodes a record written by {@link #encodeRecord}, including the folded blocks. */
  public static JobDependencies decodeRecord(JsonNode record) throws InvalidMessageException {
    JobDependencies dependencies = decodeDependencies(record);
    return new JobDependencies(
        FoldCodec.decodeBlockKeys(record),
        dependencies.requiredJobs(),
        dependencies.requiredGames());
  }
}
