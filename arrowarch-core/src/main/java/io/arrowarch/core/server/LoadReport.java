package io.arrowarch.core.server;

/**
 * What a server says of its load in an answer, from all routers together.
 *
 * @param running requests that it works on
 * @param waiting requests in its queue
 * @param slots requests that it can work on at once
 * @param workFactor how many times as long as usual work takes there at this moment; 1 is usual
 */
public record LoadReport(int running, int waiting, int slots, double workFactor) {
  /** The factor of a server that says nothing of it. */
  public static final double USUAL = 1;
}
