package io.arrowarch.core.peer;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A claim about one router: its address and its state in the membership.
 *
 * @param id configured name
 * @param zone where it runs
 * @param address IP address and port for messages from other routers
 * @param cores processor capacity, in cores; 0 when unknown
 * @param incarnation rises with every restart
 * @param sequence raised by the router itself to refute a wrong claim about this incarnation, or to
 *     announce that it is leaving
 */
public record MemberRecord(
    String id,
    String zone,
    String address,
    double cores,
    long incarnation,
    long sequence,
    State state) {

  /**
   * Declared in order of precedence: of two claims with the same incarnation and sequence, the one
   * whose state is declared later overrides.
   */
  public enum State {
    /** Answers pings. */
    @JsonProperty("alive")
    ALIVE,
    /** Is shutting down. */
    @JsonProperty("leaving")
    LEAVING,
    /** Did not answer a ping. */
    @JsonProperty("suspect")
    SUSPECT,
    /** Did not refute the suspicion in time. */
    @JsonProperty("dead")
    DEAD
  }

  /**
   * Whether this claim overrides another about the same router: by incarnation, then by sequence,
   * then by state.
   */
  public boolean overrides(MemberRecord other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    if (sequence != other.sequence) {
      return sequence > other.sequence;
    }
    return state.compareTo(other.state) > 0;
  }

  /** The same router in another state. */
  public MemberRecord withState(State changed) {
    return new MemberRecord(id, zone, address, cores, incarnation, sequence, changed);
  }

  /** The same router with another sequence and state. */
  public MemberRecord withSequence(long newSequence, State ownState) {
    return new MemberRecord(id, zone, address, cores, incarnation, newSequence, ownState);
  }
}
