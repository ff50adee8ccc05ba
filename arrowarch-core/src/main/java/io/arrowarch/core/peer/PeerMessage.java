package io.arrowarch.core.peer;

import static java.util.Objects.requireNonNull;

/**
 * What routers send each other: one-way, may be lost, repeated or reordered.
 *
 * @param sender the record of the sender itself, whose address is where to reply
 */
public record PeerMessage(MemberRecord sender, PeerBody body) {
  public PeerMessage {
    requireNonNull(sender, "sender is null");
    requireNonNull(body, "body is null");
  }
}
