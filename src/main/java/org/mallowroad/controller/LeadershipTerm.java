package org.mallowroad.controller;

/**
 * One term of leadership, as granted by the election.
 *
 * @param number the number of the term, which is the first fencing token of its block
 * @param leaderKeyVersion version of the key {@code leader} at the election. Every write of the
 *     leader requires this version, so the writes of a deposed leader fail even if it does not know
 *     that it was deposed.
 */
record LeadershipTerm(long number, long leaderKeyVersion) {}
