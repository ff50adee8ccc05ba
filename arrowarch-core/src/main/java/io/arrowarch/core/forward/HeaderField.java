package io.arrowarch.core.forward;

/** One header line. */
public record HeaderField(String name, String value) {}
