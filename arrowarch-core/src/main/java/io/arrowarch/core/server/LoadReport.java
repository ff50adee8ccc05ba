package io.arrowarch.core.server;

/**
 * The load of a server, from all routers together, as it reports it in an answer.
 *
 * @param running number of requests that are running
 * @param waiting number of requests in its queue
 * @param slots number of requests that it can run at once
 * @param workFactor how many times as long as usual work takes at the moment; 1 is usual
 */
public record LoadReport(int running, int waiting, int slots, double workFactor) {
  /** The work factor of a server that reports none. */
  public static final double USUAL_WORK_FACTOR = 1;
}
