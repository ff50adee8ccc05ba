package io.arrowarch.core.peer;

/**
 * States that one incarnation of a back end is draining.
 *
 * @param backend id of the back end
 */
public record DrainMark(String backend, String incarnation) {}
