package org.mallowroad.state;

/**
 * An unresolved attempt, as decoded from an attempt record.
 *
 * @param task the task's index in its job
 * @param number the attempt number within the task, starting at 1
 * @param machine the machine's name
 * @param incarnation the worker session in which the attempt was started
 * @param type name of the machine's type
 * @param zone name of the machine's zone
 * @param spot whether the machine is a spot machine
 */
public record RecordedAttempt(
    int task,
    int number,
    String machine,
    long incarnation,
    String type,
    String zone,
    boolean spot) {}
