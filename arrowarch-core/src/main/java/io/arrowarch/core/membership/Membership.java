package io.arrowarch.core.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.peer.DrainMark;
import io.arrowarch.core.peer.MemberRecord;
import io.arrowarch.core.peer.MemberRecord.State;
import io.arrowarch.core.peer.PeerBody;
import io.arrowarch.core.peer.PeerMessage;
import io.arrowarch.core.peer.PeerTransport;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Group membership of the routers, after the SWIM protocol: in each period a router pings one
 * member, first directly and then through others. A member that does not answer is suspected, and
 * declared dead when it does not refute the suspicion in time. Gossip is piggybacked on pings and
 * acks, so that the cost per router does not grow with the fleet.
 *
 * <p>This view may be wrong, and no safety property depends on it: it serves to find addresses and
 * to spread gossip. Whether a router may serve is decided by {@code quorum}.
 */
public final class Membership {
  static final Duration PERIOD = Duration.ofSeconds(1);
  static final Duration SUSPICION_TIMEOUT = Duration.ofSeconds(4);
  private static final Duration DIRECT_ACK_TIMEOUT = Duration.ofMillis(400);
  private static final int INDIRECT_PINGS = 2;

  /** Member records per message; with its other fields, the message then fits a datagram. */
  private static final int MEMBERS_PER_MESSAGE = 6;

  /**
   * The first ping of an incarnation has a random number below this bound. Otherwise an ack to an
   * earlier incarnation could match a later ping, and its contents would be taken to be newer than
   * they are.
   */
  private static final long FIRST_PING_NUMBER_BOUND = 1L << 40;

  private static final int MEMBERS_PER_BULK_LIST = 64;
  private static final int DRAINS_PER_MESSAGE = 8;

  /**
   * Times since its start at which a router asks one random router for its members again. When all
   * routers start at once, the first that it asks know few members.
   */
  private static final ImmutableList<Duration> JOIN_RETRY_DELAYS =
      ImmutableList.of(
          Duration.ofMillis(250),
          Duration.ofMillis(700),
          Duration.ofMillis(1_500),
          Duration.ofMillis(3_000));

  /**
   * One period in this many also pings an address that is not known to be reachable. Each period
   * does while no router is reachable.
   */
  private static final int PERIODS_PER_REJOIN_PING = 5;

  private final RouterClock clock;
  private final TimerQueue timers;
  private final RandomGenerator random;
  private final PeerTransport transport;
  private final NewsSource newsSource;
  private final MemberTable table = new MemberTable();
  private final GossipQueue<String, MemberRecord> memberGossip = new GossipQueue<>();
  private final GossipQueue<DrainMark, DrainMark> drainGossip = new GossipQueue<>();
  private final Set<String> contactAddresses = new LinkedHashSet<>();
  private final Deque<String> pingOrder = new ArrayDeque<>();
  private final Map<Long, PendingPing> pendingPings = new HashMap<>();
  private MemberRecord self;
  private boolean superseded;
  private long nextPingNumber;
  private long periods;

  /** A ping that has not been answered. */
  private record PendingPing(long sentNanos, Runnable onAck) {}

  /** Supplies the gossip of each ping and ack besides members and drains. */
  public interface NewsSource {
    /** Returns news whose lists of members and drains are not used. */
    PeerBody.News configurationNews();
  }

  /**
   * Creates the membership view of one router.
   *
   * @param self the record of this router
   * @param contacts peer addresses from the settings, through which the first members are found;
   *     those not reachable are pinged again later, so that a network split heals
   */
  public Membership(
      MemberRecord self,
      List<String> contacts,
      RouterClock clock,
      TimerQueue timers,
      RandomGenerator random,
      PeerTransport transport,
      NewsSource newsSource) {
    this.self = self;
    this.clock = clock;
    this.timers = timers;
    this.random = random;
    this.transport = transport;
    this.newsSource = newsSource;
    this.nextPingNumber = random.nextLong(FIRST_PING_NUMBER_BOUND);
    addContacts(contacts);
  }

  /** Pings every contact and starts the periodic pings. */
  public void start() {
    contactAddresses.forEach(this::askForMembers);
    for (Duration delay : JOIN_RETRY_DELAYS) {
      timers.schedule(clock.nanoTime() + delay.toNanos(), this::askAnyForMembers);
    }
    schedulePeriod();
  }

  private void askAnyForMembers() {
    List<String> addresses = new ArrayList<>(contactAddresses);
    reachable().forEach(member -> addresses.add(member.address()));
    if (!addresses.isEmpty()) {
      askForMembers(addresses.get(random.nextInt(addresses.size())));
    }
  }

  /** Pings this router itself, so that the classes that messages need are loaded. */
  public void pingSelf() {
    askForMembers(self.address());
  }

  /** Adds contact addresses, for example from the platform's list of machines. */
  public void addContacts(List<String> addresses) {
    contactAddresses.addAll(addresses);
    contactAddresses.remove(self.address());
  }

  /** Announces to the other routers that this one is shutting down. */
  public void leave() {
    self = self.withSequence(self.sequence() + 1, State.LEAVING);
    memberGossip.add(self.id(), self);
    reachable().forEach(member -> ping(member.address(), () -> {}));
  }

  /** Spreads the news that an incarnation of a back end is draining. */
  public void announceDrain(DrainMark mark) {
    drainGossip.add(mark, mark);
  }

  /** The record of this router. */
  public MemberRecord self() {
    return self;
  }

  /** Whether a later incarnation of this router is known; this one must then not serve. */
  public boolean isSuperseded() {
    return superseded;
  }

  /** All other known routers, dead ones included. */
  public ImmutableList<MemberRecord> members() {
    return table.all();
  }

  /** The other routers that are not known to be dead. */
  public ImmutableList<MemberRecord> reachable() {
    return table.reachable();
  }

  /** The newest claim about one router, which may be this one. */
  public Optional<MemberRecord> find(String id) {
    return id.equals(self.id()) ? Optional.of(self) : table.find(id);
  }

  /** At most {@code size} random reachable members, for example to push a new configuration to. */
  public ImmutableList<MemberRecord> sample(int size) {
    List<MemberRecord> shuffled = new ArrayList<>(reachable());
    shuffle(shuffled);
    return ImmutableList.copyOf(shuffled.subList(0, Math.min(size, shuffled.size())));
  }

  /** Sends a message from this router to a peer address. */
  public void send(String address, PeerBody body) {
    transport.send(address, new PeerMessage(self, body));
  }

  /** Merges the sender's record. Must be called for each message before its body is handled. */
  public void onSender(MemberRecord sender) {
    learn(sender);
  }

  /**
   * Handles a ping. A joining router gets a bulk list of members.
   *
   * @param wasKnown the result of {@link #isKnown} before {@link #onSender}; a router that was
   *     unknown or dead is treated as joining
   */
  public void onPing(MemberRecord sender, PeerBody.Ping ping, boolean wasKnown) {
    learnNews(ping.news());
    boolean joins = ping.joining() || !wasKnown;
    PeerBody.News news = joins ? fullNews(MEMBERS_PER_BULK_LIST) : news(MEMBERS_PER_MESSAGE);
    send(sender.address(), new PeerBody.Ack(ping.number(), news));
  }

  /**
   * Handles an ack to a ping of this router, whether direct or through another router.
   *
   * @return when the ping was sent, in nanoseconds of this router's monotonic clock; empty if the
   *     ping is no longer pending. The contents of the ack are at least as new
   */
  public Optional<Long> onAck(PeerBody.Ack ack) {
    learnNews(ack.news());
    Optional<PendingPing> answered = Optional.ofNullable(pendingPings.remove(ack.number()));
    answered.ifPresent(ping -> ping.onAck().run());
    return answered.map(PendingPing::sentNanos);
  }

  /** Pings a target for another router, and answers that router when the target has. */
  public void onPingRequest(MemberRecord sender, PeerBody.PingRequest request) {
    ping(
        request.targetAddress(),
        () ->
            send(sender.address(), new PeerBody.Ack(request.number(), news(MEMBERS_PER_MESSAGE))));
  }

  /** Whether a sender is known and not dead; to be called before {@link #onSender}. */
  public boolean isKnown(MemberRecord sender) {
    return table.find(sender.id()).filter(known -> known.state() != State.DEAD).isPresent();
  }

  private void schedulePeriod() {
    long half = PERIOD.toNanos() / 2;
    long delay = half + random.nextLong(2 * half);
    timers.schedule(clock.nanoTime() + delay, this::runPeriod);
  }

  private void runPeriod() {
    schedulePeriod();
    periods++;
    long nowNanos = clock.nanoTime();
    for (MemberRecord suspect : table.overdueSuspects(SUSPICION_TIMEOUT, nowNanos)) {
      learn(suspect.withState(State.DEAD));
    }
    table.removeExpiredDead(nowNanos);
    nextPingTarget().ifPresent(this::probe);
    if (periods % PERIODS_PER_REJOIN_PING == 0 || reachable().isEmpty()) {
      pingUnreachable();
    }
  }

  private Optional<MemberRecord> nextPingTarget() {
    ImmutableList<MemberRecord> reachable = reachable();
    if (reachable.isEmpty()) {
      return Optional.empty();
    }
    Optional<MemberRecord> next = Optional.empty();
    while (next.isEmpty()) {
      if (pingOrder.isEmpty()) {
        List<MemberRecord> order = new ArrayList<>(reachable);
        shuffle(order);
        order.forEach(member -> pingOrder.add(member.id()));
      }
      next = table.find(pingOrder.poll()).filter(member -> member.state() != State.DEAD);
    }
    return next;
  }

  private void probe(MemberRecord target) {
    long number = ping(target.address(), () -> {});
    timers.schedule(
        clock.nanoTime() + DIRECT_ACK_TIMEOUT.toNanos(),
        () -> {
          if (pendingPings.containsKey(number)) {
            pingThroughOthers(number, target);
          }
        });
    timers.schedule(
        clock.nanoTime() + PERIOD.toNanos(),
        () -> {
          if (pendingPings.remove(number) != null) {
            suspect(target);
          }
        });
  }

  private void pingThroughOthers(long number, MemberRecord target) {
    // One more than needed, since the sample may contain the target.
    for (MemberRecord helper : sample(INDIRECT_PINGS + 1)) {
      if (!helper.id().equals(target.id())) {
        send(helper.address(), new PeerBody.PingRequest(number, target.address()));
      }
    }
  }

  private void suspect(MemberRecord target) {
    Optional<MemberRecord> current = table.find(target.id());
    if (current.isPresent() && current.get().state().compareTo(State.SUSPECT) < 0) {
      learn(current.get().withState(State.SUSPECT));
    }
  }

  private void pingUnreachable() {
    List<String> addresses = new ArrayList<>(contactAddresses);
    table.dead().forEach(member -> addresses.add(member.address()));
    ImmutableSet<String> alive =
        reachable().stream().map(MemberRecord::address).collect(ImmutableSet.toImmutableSet());
    addresses.removeAll(alive);
    if (!addresses.isEmpty()) {
      ping(addresses.get(random.nextInt(addresses.size())), () -> {});
    }
  }

  private void askForMembers(String address) {
    ping(address, true, () -> {});
  }

  private long ping(String address, Runnable onAck) {
    return ping(address, false, onAck);
  }

  private long ping(String address, boolean joining, Runnable onAck) {
    long number = nextPingNumber++;
    long nowNanos = clock.nanoTime();
    pendingPings.put(number, new PendingPing(nowNanos, onAck));
    timers.schedule(nowNanos + 2 * PERIOD.toNanos(), () -> pendingPings.remove(number));
    send(address, new PeerBody.Ping(number, joining, news(MEMBERS_PER_MESSAGE)));
    return number;
  }

  private PeerBody.News news(int limit) {
    int size = table.all().size() + 1;
    return newsWith(false, memberGossip.take(limit, size));
  }

  private PeerBody.News fullNews(int limit) {
    return newsWith(true, sample(limit));
  }

  private PeerBody.News newsWith(boolean bulk, ImmutableList<MemberRecord> members) {
    PeerBody.News configuration = newsSource.configurationNews();
    int size = table.all().size() + 1;
    return new PeerBody.News(
        configuration.inForce(),
        configuration.accepted(),
        configuration.store(),
        bulk,
        members,
        drainGossip.take(DRAINS_PER_MESSAGE, size));
  }

  private void learnNews(PeerBody.News news) {
    for (MemberRecord claim : news.members()) {
      if (news.bulk() && !claim.id().equals(self.id())) {
        table.merge(claim, clock.nanoTime());
      } else {
        learn(claim);
      }
    }
  }

  private void learn(MemberRecord claim) {
    if (claim.id().equals(self.id())) {
      learnAboutSelf(claim);
    } else if (table.merge(claim, clock.nanoTime())) {
      memberGossip.add(claim.id(), claim);
    }
  }

  private void learnAboutSelf(MemberRecord claim) {
    if (claim.incarnation() > self.incarnation()) {
      superseded = true;
    } else if (claim.incarnation() == self.incarnation() && claim.overrides(self)) {
      self = self.withSequence(claim.sequence() + 1, self.state());
      memberGossip.add(self.id(), self);
    }
  }

  private void shuffle(List<?> list) {
    for (int i = list.size() - 1; i > 0; i--) {
      Collections.swap(list, i, random.nextInt(i + 1));
    }
  }
}
