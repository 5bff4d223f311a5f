package org.mallowroad.api.claim;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.mallowroad.core.dependency.JobDependencies;
import org.mallowroad.core.fold.Game;
import org.mallowroad.state.LeagueRecordCodec;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.Transaction;

/**
 * The records of the leagues that one claim touches, as it has read them: the cache may forget them
 * meanwhile.
 */
final class ClaimedLeagues {
  private final ValueReader reader;
  private final LeagueCache cache;
  private final JobDependencies dependencies;

  /**
   * By league the lowest game that the job folds, or the highest number if it only depends on it.
   */
  private final Map<String, Long> lowestGames = new TreeMap<>();

  private final Map<String, LeagueRecord> records = new TreeMap<>();

  ClaimedLeagues(
      ValueReader reader, LeagueCache cache, List<Game> games, JobDependencies dependencies) {
    this.reader = reader;
    this.cache = cache;
    this.dependencies = dependencies;
    games.forEach(g -> lowestGames.merge(g.league(), g.number(), Math::min));
    dependencies
        .highestRequiredGames()
        .keySet()
        .forEach(l -> lowestGames.putIfAbsent(l, Long.MAX_VALUE));
  }

  /** The number of leagues. */
  int size() {
    return lowestGames.size();
  }

  /**
   * Reads the records.
   *
   * @param refresh whether those that are known already are read again
   */
  void read(boolean refresh, Runnable done) {
    ArrayDeque<String> missing = new ArrayDeque<>();
    for (String league : lowestGames.keySet()) {
      LeagueRecord cached = refresh ? null : cache.get(league);
      if (cached != null) {
        records.put(league, cached);
      } else if (refresh || !records.containsKey(league)) {
        missing.add(league);
      }
    }
    readNext(missing, done);
  }

  private void readNext(ArrayDeque<String> missing, Runnable done) {
    if (missing.isEmpty()) {
      done.run();
      return;
    }
    String league = missing.poll();
    reader.read(
        RecordKeys.league(league),
        (value, version) -> {
          LeagueRecord read = LeagueRecord.decode(value, version);
          records.put(league, read);
          cache.put(league, read);
          readNext(missing, done);
        });
  }

  /**
   * Adds the leagues to an acceptance's transaction. Where other jobs depend on games that this job
   * folds, or this job depends on games, the league's record changes with it: what was confirmed of
   * a dependency under the record's earlier version is no longer confirmed.
   */
  void addTo(Transaction transaction) {
    lowestGames.forEach(
        (league, game) -> {
          LeagueRecord known = records.get(league);
          transaction.requireVersion(RecordKeys.league(league), known.version());
          boolean touches = known.version() > 0 && game <= known.upTo();
          long upTo =
              Math.max(known.upTo(), dependencies.highestRequiredGames().getOrDefault(league, -1L));
          if (touches || upTo > known.upTo()) {
            long changes = Math.max(0, known.changes()) + (touches ? 1 : 0);
            transaction.put(RecordKeys.league(league), LeagueRecordCodec.encode(upTo, changes));
          }
        });
  }

  /** Removes the leagues from the cache: the acceptance may have changed their versions. */
  void forget() {
    lowestGames.keySet().forEach(cache::remove);
  }
}
