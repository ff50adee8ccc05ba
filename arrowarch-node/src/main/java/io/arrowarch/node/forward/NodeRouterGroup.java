package io.arrowarch.node.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.forward.DelegateTransport;
import io.arrowarch.core.forward.RouterGroup;
import io.arrowarch.core.forward.RouterPeers;
import io.arrowarch.core.peer.LiveRouter;
import io.arrowarch.core.peer.PeerBody;
import io.arrowarch.core.peer.PeerGroup;
import java.util.function.Supplier;

/** The other routers, as membership knows them and the node reaches them. */
final class NodeRouterGroup implements RouterGroup {
  private final ImmutableList<String> contacts;
  private final Supplier<RouterPeers> peers;
  private final DelegateTransport transport;
  private final PeerGroup peerGroup = new NodePeerGroup();

  /**
   * Creates a group.
   *
   * @param contacts see {@link RouterGroup#contacts}
   * @param peers asked only once the node listens, which is when its own address is known
   */
  NodeRouterGroup(
      ImmutableList<String> contacts, Supplier<RouterPeers> peers, DelegateTransport transport) {
    this.contacts = contacts;
    this.peers = peers;
    this.transport = transport;
  }

  @Override
  public int count() {
    return peers.get().count();
  }

  @Override
  public ImmutableList<LiveRouter> liveRouters() {
    return peers.get().liveRouters();
  }

  @Override
  public boolean hasOthers() {
    return peers.get().hasOthers();
  }

  @Override
  public ImmutableList<String> contacts() {
    return contacts;
  }

  @Override
  public PeerGroup peers() {
    return peerGroup;
  }

  @Override
  public DelegateTransport transport() {
    return transport;
  }

  /** The same routers, for the counting of tenants' limits. */
  private final class NodePeerGroup implements PeerGroup {
    @Override
    public ImmutableList<LiveRouter> liveRouters() {
      return peers.get().liveRouters();
    }

    @Override
    public void send(String address, PeerBody body) {
      peers.get().send(address, body);
    }
  }
}
