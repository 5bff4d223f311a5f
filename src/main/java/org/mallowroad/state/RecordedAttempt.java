package org.mallowroad.state;

/**
 * An unresolved attempt as an attempt record has it.
 *
 * @param task the task's index in its job
 * @param number counts the task's attempts from 1
 * @param machine the machine's name
 * @param incarnation the worker session that the attempt was started in
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
