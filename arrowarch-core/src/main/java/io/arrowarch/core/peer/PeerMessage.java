package io.arrowarch.core.peer;

import static java.util.Objects.requireNonNull;

/**
 * A one-way message between routers; it may be lost, duplicated or reordered.
 *
 * @param sender the sender's record of itself; replies go to its address
 */
public record PeerMessage(MemberRecord sender, PeerBody body) {
  public PeerMessage {
    requireNonNull(sender, "sender is null");
    requireNonNull(body, "body is null");
  }
}
