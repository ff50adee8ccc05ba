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
 * The other routers. They are needed for how many share a budget and the connections of a server,
 * and for word of a server that leaves where the store does not reach.
 */
public final class RouterPeers {
  /** A router that has gone may have spent its share within a window of budgets before. */
  private static final Duration COUNT_MEMORY = Duration.ofSeconds(12);

  /** Routers whose starts are no further apart have started together. */
  private static final Duration ESTABLISHED_AGE = Duration.ofSeconds(5);

  /** Until the others are known there are taken to be many; contacts are a few of them. */
  private static final int ROUTERS_FOR_EACH_CONTACT = 3;

  /** The revisions of the store that this router and others have seen. */
  public interface StoreRevisions {
    /** What this router knows. */
    StoreNews news();

    /**
     * Takes that another router's view was complete, with every change up to a position and none
     * after it.
     *
     * @param askedNanos when it was asked, on this router's clock
     * @param age of its view then
     */
    void onConfirmedByPeer(StoreRevision position, long askedNanos, Duration age);

    /**
     * Takes what another router knows.
     *
     * @param address of the other router
     * @param near whether it is of the same zone
     */
    void onSeenByPeer(StoreNews news, String address, boolean near);
  }

  private final RouterClock clock;
  private final EventLog events;
  private final Membership membership;
  private final Consumer<String> onDrain;
  private final StoreRevisions revisions;
  private final Consumer<PeerMessage> others;
  private ImmutableList<MemberRecord> liveRoutersSource = ImmutableList.of();
  private ImmutableList<LiveRouter> liveRouters = ImmutableList.of();
  private int remembered;
  private long rememberedNanos;

  /**
   * Creates the view of one router.
   *
   * @param self its own record
   * @param contacts peer addresses to try first
   * @param onDrain told the id of each server that another router says is leaving
   * @param revisions the revisions of the store that routers have seen
   * @param others told every message that is not about the routers themselves
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
      Consumer<PeerMessage> others) {
    this.clock = clock;
    this.events = events;
    this.onDrain = onDrain;
    this.revisions = revisions;
    this.others = others;
    this.membership =
        new Membership(self, contacts, clock, timers, random, transport, this::storeNews);
    this.remembered = ROUTERS_FOR_EACH_CONTACT * (1 + contacts.size());
    this.rememberedNanos = clock.nanoTime();
  }

  /** Starts to look for the others. */
  public void start() {
    membership.start();
  }

  /** Adds peer addresses to try. */
  public void addContacts(List<String> addresses) {
    membership.addContacts(addresses);
  }

  /** Tells the others that this router is stopping. */
  public void leave() {
    membership.leave();
  }

  /** Sends a message to itself, so that what messages need is loaded. */
  public void pingSelf() {
    membership.pingSelf();
  }

  /** Sends a message to another router, without any promise of delivery. */
  public void send(String address, PeerBody body) {
    membership.send(address, body);
  }

  /** The record of this router. */
  public MemberRecord self() {
    return membership.self();
  }

  /** Tells the others that a server is leaving. */
  public void announceDrain(String serverId) {
    membership.announceDrain(new DrainMark(serverId, serverId));
  }

  /**
   * How many routers share servers and budgets, this one included: the most that there were lately,
   * since too many is safe and too few is not.
   */
  public int count() {
    long nowNanos = clock.nanoTime();
    int now = 1 + membership.reachable().size();
    boolean forgotten = nowNanos - rememberedNanos > COUNT_MEMORY.toNanos();
    if (now >= remembered || forgotten) {
      if (now != remembered) {
        events.log(new RouterEvent.RoutersChanged(remembered, now));
      }
      remembered = now;
      rememberedNanos = nowNanos;
    }
    return remembered;
  }

  /**
   * Whether another router is known that was started well before this one, so that callers are
   * served while this one gets ready. Incarnations are times of start.
   */
  public boolean hasEstablished() {
    return membership.reachable().stream()
        .anyMatch(member -> member.state() == MemberRecord.State.ALIVE && isEstablished(member));
  }

  /** Whether another router is known, be it dead. */
  public boolean hasOthers() {
    return !membership.members().isEmpty();
  }

  /** The other routers that answer and are not stopping. */
  public ImmutableList<LiveRouter> liveRouters() {
    ImmutableList<MemberRecord> reachable = membership.reachable();
    if (!isSame(reachable, liveRoutersSource)) {
      liveRoutersSource = reachable;
      liveRouters = toLiveRouters(reachable);
    }
    return liveRouters;
  }

  /** Whether it is the very list: comparing its members would cost as much as making it anew. */
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

  /** Takes a message from another router. */
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
      others.accept(message);
    }
  }

  /** The other's clock need not be known: its age counts back from when it was asked. */
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
