package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.config.ConfigurationId;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.event.RouterEvent;
import io.arrowarch.core.membership.Membership;
import io.arrowarch.core.peer.DrainMark;
import io.arrowarch.core.peer.LiveRouter;
import io.arrowarch.core.peer.MemberRecord;
import io.arrowarch.core.peer.PeerBody;
import io.arrowarch.core.peer.PeerMessage;
import io.arrowarch.core.peer.PeerTransport;
import io.arrowarch.core.peer.StoreNews;
import io.arrowarch.core.store.StoreRevision;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The other routers, as found by gossip. Their number decides how budgets and the connections of
 * servers are shared. They also report servers that are draining, for routers that cannot reach the
 * store.
 */
public final class RouterPeers {
  /**
   * How long the highest count is kept: at least one budget window, because a router that has left
   * may have spent its share earlier in the window.
   */
  private static final Duration COUNT_RETENTION = Duration.ofSeconds(12);

  /** Routers that started within this time of each other count as started together. */
  private static final Duration ESTABLISHED_AGE = Duration.ofSeconds(5);

  /**
   * The number of routers assumed for each contact until the others are known. Contacts are only a
   * few of the routers, and an overestimate is safe.
   */
  private static final int ROUTERS_PER_CONTACT = 3;

  /** This router's side of the exchange of store revisions. */
  public interface StoreRevisions {
    /** What this router tells the others. */
    StoreNews news();

    /**
     * Called when another router has confirmed that its view held every change up to a position,
     * and none after it.
     *
     * @param askedNanos when the other router was asked, on this router's clock
     * @param age how old its view was when it answered. It is counted from {@code askedNanos},
     *     which can only overstate it.
     */
    void onConfirmedByPeer(StoreRevision position, long askedNanos, Duration age);

    /**
     * Called with the revisions that another router has seen.
     *
     * @param address the other router's peer address
     * @param near whether it is in the same zone
     */
    void onSeenByPeer(StoreNews news, String address, boolean near);
  }

  private final RouterClock clock;
  private final EventLog events;
  private final Membership membership;
  private final Consumer<String> onDrain;
  private final StoreRevisions revisions;
  private final Consumer<PeerMessage> otherMessages;
  private ImmutableList<MemberRecord> nearbySource = ImmutableList.of();
  private ImmutableList<LiveRouter> liveRouters = ImmutableList.of();
  private int recentMaximum;
  private long recentMaximumNanos;

  /**
   * Creates the peers of one router.
   *
   * @param self the router's own record
   * @param contacts peer addresses to try first, as IP:PORT
   * @param onDrain receives the id of each server that another router reports as draining
   * @param revisions exchanges store revisions with the other routers
   * @param otherMessages receives every message that is not about membership
   */
  public RouterPeers(
      MemberRecord self,
      List<String> contacts,
      RouterClock clock,
      TimerQueue timers,
      RandomGenerator random,
      PeerTransport transport,
      EventLog events,
      Consumer<String> onDrain,
      StoreRevisions revisions,
      Consumer<PeerMessage> otherMessages) {
    this.clock = clock;
    this.events = events;
    this.onDrain = onDrain;
    this.revisions = revisions;
    this.otherMessages = otherMessages;
    this.membership =
        new Membership(self, contacts, clock, timers, random, transport, this::storeNews);
    this.recentMaximum = ROUTERS_PER_CONTACT * (1 + contacts.size());
    this.recentMaximumNanos = clock.nanoTime();
  }

  /** Starts looking for the other routers. */
  public void start() {
    membership.start();
  }

  /** Adds peer addresses to contact. */
  public void addContacts(List<String> addresses) {
    membership.addContacts(addresses);
  }

  /** Tells the others that this router is stopping. */
  public void leave() {
    membership.leave();
  }

  /** Sends a message to this router itself, so that the classes for messages are loaded. */
  public void pingSelf() {
    membership.pingSelf();
  }

  /** Sends a message to another router; it may be lost. */
  public void send(String address, PeerBody body) {
    membership.send(address, body);
  }

  /** This router's own record. */
  public MemberRecord self() {
    return membership.self();
  }

  /** Tells the others that a server is draining. */
  public void announceDrain(String serverId) {
    membership.announceDrain(new DrainMark(serverId, serverId));
  }

  /**
   * How many routers share servers and budgets, this one included. This is the highest count of
   * recent seconds: a count that is too high is safe, one that is too low overloads servers and
   * overspends budgets.
   */
  public int count() {
    long nowNanos = clock.nanoTime();
    int now = 1 + membership.reachable().size();
    boolean expired = nowNanos - recentMaximumNanos > COUNT_RETENTION.toNanos();
    if (now >= recentMaximum || expired) {
      if (now != recentMaximum) {
        events.log(new RouterEvent.RoutersChanged(recentMaximum, now));
      }
      recentMaximum = now;
      recentMaximumNanos = nowNanos;
    }
    return recentMaximum;
  }

  /**
   * Whether a router that started well before this one is alive, so that callers are served while
   * this one warms up. Incarnations are start times in milliseconds.
   */
  public boolean hasEstablishedPeer() {
    return membership.reachable().stream()
        .anyMatch(member -> member.state() == MemberRecord.State.ALIVE && isEstablished(member));
  }

  /** Whether any other router is known, dead ones included. */
  public boolean hasOthers() {
    return !membership.members().isEmpty();
  }

  /** The other routers that answer and are not stopping. The list is the same until they change. */
  public ImmutableList<LiveRouter> liveRouters() {
    ImmutableList<MemberRecord> reachable = membership.reachable();
    if (!isSame(reachable, nearbySource)) {
      nearbySource = reachable;
      liveRouters = toLiveRouters(reachable);
    }
    return liveRouters;
  }

  /** Compares by identity: comparing the members would cost as much as building the list again. */
  @SuppressWarnings("ReferenceEquality")
  private static boolean isSame(
      ImmutableList<MemberRecord> members, ImmutableList<MemberRecord> others) {
    return members == others;
  }

  private static ImmutableList<LiveRouter> toLiveRouters(ImmutableList<MemberRecord> members) {
    ImmutableList.Builder<LiveRouter> routers = ImmutableList.builder();
    for (MemberRecord member : members) {
      if (member.state() == MemberRecord.State.ALIVE) {
        routers.add(
            new LiveRouter(
                member.id(),
                member.incarnation(),
                member.zone(),
                member.address(),
                member.cores()));
      }
    }
    return routers.build();
  }

  private boolean isEstablished(MemberRecord member) {
    return member.incarnation() < membership.self().incarnation() - ESTABLISHED_AGE.toMillis();
  }

  /** Handles a message from another router. */
  public void onMessage(PeerMessage message) {
    MemberRecord sender = message.sender();
    boolean wasKnown = membership.isKnown(sender);
    membership.onSender(sender);
    PeerBody body = message.body();
    if (body instanceof PeerBody.Ping ping) {
      membership.onPing(sender, ping, wasKnown);
      onNews(sender, ping.news());
    } else if (body instanceof PeerBody.Ack ack) {
      Optional<Long> askedNanos = membership.onAck(ack);
      onNews(sender, ack.news());
      askedNanos.ifPresent(asked -> onDatedNews(ack.news(), asked));
    } else if (body instanceof PeerBody.PingRequest request) {
      membership.onPingRequest(sender, request);
    } else {
      otherMessages.accept(message);
    }
  }

  /**
   * Counts the age from the time of the request on this router's clock, so the routers' clocks need
   * not agree.
   */
  private void onDatedNews(PeerBody.News news, long askedNanos) {
    if (news.store().ageMillis() != StoreNews.NEVER) {
      Duration age = Duration.ofMillis(news.store().ageMillis());
      revisions.onConfirmedByPeer(news.store().position(), askedNanos, age);
    }
  }

  private void onNews(MemberRecord sender, PeerBody.News news) {
    boolean near = sender.zone().equals(membership.self().zone());
    revisions.onSeenByPeer(news.store(), sender.address(), near);
    for (DrainMark mark : news.drains()) {
      onDrain.accept(mark.backend());
    }
  }

  private PeerBody.News storeNews() {
    return new PeerBody.News(
        ConfigurationId.NONE, ConfigurationId.NONE, revisions.news(), false, List.of(), List.of());
  }
}
