package org.mallowroad.controller;

/**
 * One term of leadership as the election granted it.
 *
 * @param number the term's number, which is the first fencing token of its block
 * @param leaderKeyVersion version of the key {@code leader} at the election. Every write of the
 *     leader compares against it, so a deposed leader's writes fail whatever it believes.
 */
record LeadershipTerm(long number, long leaderKeyVersion) {}
