package io.arrowarch.core.peer;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What is claimed of one router.
 *
 * @param id configured name
 * @param zone where it runs
 * @param address IP number and port for peers
 * @param cores how much processor it has, in cores; 0 when it does not say
 * @param incarnation differs after every restart, and rises
 * @param sequence raised by the router itself to refute a wrong claim about this incarnation
 */
public record MemberRecord(
    String id,
    String zone,
    String address,
    double cores,
    long incarnation,
    long sequence,
    State state) {

  /** In the order in which claims of the same sequence override each other. */
  public enum State {
    /** Answers pings. */
    @JsonProperty("alive")
    ALIVE,
    /** Is stopping as planned. */
    @JsonProperty("leaving")
    LEAVING,
    /** Did not answer a ping. */
    @JsonProperty("suspect")
    SUSPECT,
    /** Did not refute the suspicion in time. */
    @JsonProperty("dead")
    DEAD
  }

  /** Whether this claim overrides another about the same router. */
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
  public MemberRecord refuted(long newSequence, State ownState) {
    return new MemberRecord(id, zone, address, cores, incarnation, newSequence, ownState);
  }
}
