package org.mallowroad.config;

/**
 * The console's listener (docs/console.md).
 *
 * @param listen where it listens, apart from users and workers
 * @param everyMs a picture is made at least so often, so that there is one when the loop is stuck
 * @param freshMs one who asks gets a picture no older than this, while the loop turns
 * @param history points of the past that are kept, one every 15 s; 0 for none
 */
public record ConsoleSettings(Settings.Endpoint listen, long everyMs, long freshMs, int history) {}
