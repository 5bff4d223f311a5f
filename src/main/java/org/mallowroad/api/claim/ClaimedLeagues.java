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
 * The records of the leagues that one claim touches, as it has read them. They are kept here
 * because the cache may evict them before the claim is finished.
 */
final class ClaimedLeagues {
  private final ValueReader reader;
  private final LeagueCache cache;
  private final JobDependencies dependencies;

  /**
   * The lowest game that the job folds, by league; {@code Long.MAX_VALUE} if the job only depends
   * on the league.
   */
  private final Map<String, Long> lowestFoldedGames = new TreeMap<>();

  private final Map<String, LeagueRecord> records = new TreeMap<>();

  ClaimedLeagues(
      ValueReader reader, LeagueCache cache, List<Game> games, JobDependencies dependencies) {
    this.reader = reader;
    this.cache = cache;
    this.dependencies = dependencies;
    games.forEach(game -> lowestFoldedGames.merge(game.league(), game.number(), Math::min));
    dependencies
        .highestRequiredGames()
        .keySet()
        .forEach(league -> lowestFoldedGames.putIfAbsent(league, Long.MAX_VALUE));
  }

  /** The number of leagues that the claim touches. */
  int size() {
    return lowestFoldedGames.size();
  }

  /**
   * Reads the league records, from the cache or from the state service.
   *
   * @param refresh whether records that are already known are read again
   */
  void read(boolean refresh, Runnable onDone) {
    ArrayDeque<String> unreadLeagues = new ArrayDeque<>();
    for (String league : lowestFoldedGames.keySet()) {
      LeagueRecord cached = refresh ? null : cache.get(league);
      if (cached != null) {
        records.put(league, cached);
      } else if (refresh || !records.containsKey(league)) {
        unreadLeagues.add(league);
      }
    }
    readNext(unreadLeagues, onDone);
  }

  private void readNext(ArrayDeque<String> unreadLeagues, Runnable onDone) {
    if (unreadLeagues.isEmpty()) {
      onDone.run();
      return;
    }
    String league = unreadLeagues.poll();
    reader.read(
        RecordKeys.league(league),
        (value, version) -> {
          LeagueRecord record = LeagueRecord.decode(value, version);
          records.put(league, record);
          cache.put(league, record);
          readNext(unreadLeagues, onDone);
        });
  }

  /**
   * Adds the leagues to the transaction of an acceptance. If another job may depend on games that
   * this job folds, or if this job depends on higher games than any before, the transaction also
   * changes the league's record: a dependency that was confirmed under the earlier version of the
   * record is then no longer confirmed.
   */
  void addTo(Transaction transaction) {
    lowestFoldedGames.forEach(
        (league, lowestFoldedGame) -> {
          LeagueRecord record = records.get(league);
          transaction.requireVersion(RecordKeys.league(league), record.version());
          boolean touchesRequiredGames =
              record.version() > 0 && lowestFoldedGame <= record.highestRequiredGame();
          long highestRequiredGame =
              Math.max(
                  record.highestRequiredGame(),
                  dependencies.highestRequiredGames().getOrDefault(league, -1L));
          if (touchesRequiredGames || highestRequiredGame > record.highestRequiredGame()) {
            long changeCount = Math.max(0, record.changeCount()) + (touchesRequiredGames ? 1 : 0);
            transaction.put(
                RecordKeys.league(league),
                LeagueRecordCodec.encode(highestRequiredGame, changeCount));
          }
        });
  }

  /** Evicts the leagues from the cache, because the acceptance may have changed their versions. */
  void evictFromCache() {
    lowestFoldedGames.keySet().forEach(cache::remove);
  }
}
