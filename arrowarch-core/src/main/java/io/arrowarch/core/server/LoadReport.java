package io.arrowarch.core.server;

/** What a server says of its load in an answer, from all routers together. */
public record LoadReport(int running, int waiting, int slots) {}
