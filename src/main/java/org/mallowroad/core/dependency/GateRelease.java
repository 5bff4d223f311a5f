package org.mallowroad.core.dependency;

import java.util.Map;

/**
 * The confirmation that a gated job's dependencies are met, as recorded in the state service.
 *
 * @param leagueVersions the version of each required league's record when its games were confirmed;
 *     the first start is conditional on these versions
 * @param leagueClaimCounts how often required games of each league had been claimed when the games
 *     were confirmed
 * @param started true once the job's first start is recorded; the release cannot be undone after
 *     that
 * @param superseded true once a required league changed after the job's first start
 */
public record GateRelease(
    Map<String, Long> leagueVersions,
    Map<String, Long> leagueClaimCounts,
    boolean started,
    boolean superseded) {}
