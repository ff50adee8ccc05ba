package io.arrowarch.core.peer;

/** News that an incarnation of a back end is leaving. */
public record DrainMark(String backend, String incarnation) {}
