package io.arrowarch.core.router;

import io.arrowarch.core.config.ConfigurationId;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.membership.Membership;
import io.arrowarch.core.once.Ticket;
import io.arrowarch.core.once.TicketRegistry;
import io.arrowarch.core.peer.DrainMark;
import io.arrowarch.core.peer.MemberRecord;
import io.arrowarch.core.peer.PeerBody;
import io.arrowarch.core.peer.PeerMessage;
import io.arrowarch.core.peer.StoreNews;
import io.arrowarch.core.query.AttemptFailure;
import io.arrowarch.core.query.NodeIdentity;
import io.arrowarch.core.query.QueryAnswer;
import io.arrowarch.core.query.QueryCoordinator;
import io.arrowarch.core.query.QueryCounters;
import io.arrowarch.core.query.QueryRequest;
import io.arrowarch.core.quorum.ConfigurationAgreement;
import io.arrowarch.core.quorum.ConfigurationStore;
import io.arrowarch.core.replica.Prober;
import io.arrowarch.core.replica.ReplicaTable;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import io.arrowarch.core.topology.Configuration;
import io.arrowarch.core.wire.BackendReply;
import io.arrowarch.core.wire.BackendReport;
import io.arrowarch.core.wire.MachineList;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The logic of one router, without input or output of its own. It receives events through its
 * methods, sends through {@link RouterTransports}, and reads the time from {@link RouterClock}.
 *
 * <p>Not thread-safe: the caller serialises all calls. It should call {@link #runTimers} at the
 * time that {@link #nextTimerNanos} returns; a late call is safe.
 */
public final class RouterCore {
  private static final Duration PLATFORM_POLL_INTERVAL = Duration.ofSeconds(1);

  /** Number of routers in a zone above which each polls at a longer interval. */
  private static final int ROUTERS_AT_FULL_POLL_RATE = 3;

  /** Routers that run this class do not report their processor cores. */
  private static final double UNKNOWN_CORES = 0;

  private final RouterOptions options;
  private final RouterClock clock;
  private final RandomGenerator random;
  private final RouterTransports transports;
  private final TimerQueue timers = new TimerQueue();
  private final ReplicaTable replicas;
  private final Prober prober;
  private final Membership membership;
  private final ConfigurationAgreement agreement;
  private final QueryCoordinator coordinator;
  private final QueryService service;
  private final StatusReporter statusReporter;

  /** Creates a router without a configuration; it serves queries once it has confirmed one. */
  public RouterCore(
      RouterOptions options,
      RouterClock clock,
      RandomGenerator random,
      RouterTransports transports) {
    this.options = options;
    this.clock = clock;
    this.random = random;
    this.transports = transports;
    NodeIdentity identity = options.identity();
    this.replicas = new ReplicaTable(this::announceDrain);
    this.prober = new Prober(clock, timers, random, replicas, transports.probes());
    this.membership = createMembership(identity);
    this.agreement =
        new ConfigurationAgreement(
            identity.zone(), clock, timers, membership, this::reconfigure, this::onConfirmed);
    this.coordinator =
        new QueryCoordinator(
            identity,
            clock,
            timers,
            random,
            replicas,
            transports.attempts(),
            options.hedgePolicy(),
            agreement,
            options.maximumQueries());
    this.service =
        new QueryService(
            clock,
            timers,
            coordinator,
            agreement,
            new TicketRegistry<>(identity.id(), identity.incarnation()));
    this.statusReporter =
        new StatusReporter(identity, clock, service, coordinator, agreement, replicas);
  }

  /** Starts membership, confirmation rounds, probes and polling of the platform. */
  public void start() {
    membership.start();
    agreement.start();
    prober.start();
    pollPlatform();
  }

  /**
   * Runs a caller's query.
   *
   * @param sink called with the outcome exactly once, possibly before this method returns
   */
  public void submit(QueryRequest request, Consumer<Either<QueryError, QueryAnswer>> sink) {
    service.submit(request, sink);
  }

  /** Issues a ticket for one non-repeatable request, valid only at this incarnation. */
  public Ticket issueTicket() {
    return service.issueTicket();
  }

  /** See {@link QueryCoordinator#onReply}. */
  public void onAttemptReply(String attemptId, BackendReply reply) {
    coordinator.onReply(attemptId, reply);
  }

  /** See {@link QueryCoordinator#onFailure}. */
  public void onAttemptFailure(String attemptId, AttemptFailure failure) {
    coordinator.onFailure(attemptId, failure);
  }

  /** See {@link QueryCoordinator#mayWrite}. */
  public boolean mayWriteAttempt(String attemptId) {
    return coordinator.mayWrite(attemptId);
  }

  /** Handles the reply to a probe. */
  public void onProbeReply(String backendId, BackendReport report) {
    replicas.onReport(backendId, report, clock.nanoTime());
  }

  /** Handles a configuration document from the platform. */
  public ConfigurationStore.OfferResult onPlatformConfiguration(String json) {
    return agreement.onDocument(json);
  }

  /** Handles the platform's list of machines. */
  public void onMachineList(MachineList list) {
    replicas.onMachineList(list);
    agreement.onMachineList(list);
    membership.addContacts(
        list.machines().stream()
            .filter(machine -> machine.role() == MachineList.Role.ROUTER)
            .map(MachineList.Machine::address)
            .toList());
  }

  /** Handles a message from another router. */
  public void onPeerMessage(PeerMessage message) {
    MemberRecord sender = message.sender();
    boolean wasKnown = membership.isKnown(sender);
    membership.onSender(sender);
    PeerBody body = message.body();
    if (body instanceof PeerBody.Ping ping) {
      membership.onPing(sender, ping, wasKnown);
      onNews(sender, ping.news());
    } else if (body instanceof PeerBody.Ack ack) {
      membership.onAck(ack);
      onNews(sender, ack.news());
    } else if (body instanceof PeerBody.PingRequest request) {
      membership.onPingRequest(sender, request);
    } else if (body instanceof PeerBody.ConfirmRequest request) {
      agreement.onConfirmRequest(sender, request);
    } else if (body instanceof PeerBody.ConfirmReply reply) {
      agreement.onConfirmReply(sender, reply);
    } else if (body instanceof PeerBody.VersionNotice notice) {
      agreement.onPeerConfigurationIds(sender, notice.inForce(), ConfigurationId.NONE);
    } else if (body instanceof PeerBody.ConfigurationRequest) {
      agreement.onConfigurationRequest(sender);
    } else if (body instanceof PeerBody.ConfigurationOffer offer) {
      agreement.onDocument(offer.json());
    }
  }

  /** First step of a planned stop: tells other routers; queries are still accepted. */
  public void announceLeaving() {
    service.announceLeaving();
    membership.leave();
  }

  /** Second step of a planned stop: refuses new queries; those in progress continue. */
  public void refuseNewQueries() {
    service.drain();
  }

  /** Queries received and not yet answered. */
  public int pendingQueries() {
    return service.pending();
  }

  /**
   * Whether callers should send queries here: there is a lease, a configuration and no planned
   * stop. During the first step of a planned stop, queries are still served.
   */
  public boolean isReady() {
    return !service.isLeaving()
        && agreement.isConfirmed(clock.nanoTime())
        && coordinator.configuration().isPresent();
  }

  /** The configuration in force, the newest accepted one, and the last one refused. */
  public ConfigurationStore configurationStore() {
    return agreement.store();
  }

  /** A snapshot of the state, for operators. */
  public RouterStatus status() {
    return statusReporter.status(membership.members());
  }

  /** Whether another router is in state {@link MemberRecord.State#DEAD} here. */
  public boolean considersDead(String routerId) {
    return membership
        .find(routerId)
        .filter(member -> member.state() == MemberRecord.State.DEAD)
        .isPresent();
  }

  /** The counters of queries, for metrics. */
  public QueryCounters counters() {
    return coordinator.counters();
  }

  /** Runs the timers that are due. */
  public void runTimers() {
    timers.runDue(clock.nanoTime());
  }

  /** When {@link #runTimers} should be called next, on the clock's {@code nanoTime}. */
  public OptionalLong nextTimerNanos() {
    return timers.nextDueNanos();
  }

  private Membership createMembership(NodeIdentity identity) {
    MemberRecord self =
        new MemberRecord(
            identity.id(),
            identity.zone(),
            options.peerAddress(),
            UNKNOWN_CORES,
            identity.incarnation(),
            0,
            MemberRecord.State.ALIVE);
    return new Membership(
        self,
        options.contacts(),
        clock,
        timers,
        random,
        transports.peers(),
        this::configurationNews);
  }

  private PeerBody.News configurationNews() {
    ConfigurationStore store = agreement.store();
    return new PeerBody.News(
        store.inForceId(), store.accepted(), StoreNews.NONE, false, List.of(), List.of());
  }

  private void onNews(MemberRecord sender, PeerBody.News news) {
    agreement.onPeerConfigurationIds(sender, news.inForce(), news.accepted());
    for (DrainMark mark : news.drains()) {
      if (replicas.onDrainMark(mark.backend(), mark.incarnation())) {
        membership.announceDrain(mark);
      }
    }
  }

  private void announceDrain(String backendId, String incarnation) {
    membership.announceDrain(new DrainMark(backendId, incarnation));
  }

  private void reconfigure(Configuration configuration) {
    replicas.reconfigure(configuration.backends(), configuration.routerCount());
    coordinator.reconfigure(configuration);
    prober.probeAll();
  }

  private void onConfirmed() {
    service.onConfirmed();
  }

  /**
   * Polls the platform and schedules the next poll. Above {@link #ROUTERS_AT_FULL_POLL_RATE}
   * routers the interval grows with their number, so that the total poll rate of a zone stays the
   * same.
   */
  private void pollPlatform() {
    transports.platform().fetchConfiguration();
    transports.platform().fetchMachineList();
    long sameZone =
        1
            + membership.reachable().stream()
                .filter(member -> member.zone().equals(options.identity().zone()))
                .count();
    double scale = Math.max(1.0, (double) sameZone / ROUTERS_AT_FULL_POLL_RATE);
    long interval = (long) (PLATFORM_POLL_INTERVAL.toNanos() * scale);
    long delay = interval / 2 + random.nextLong(interval);
    timers.schedule(clock.nanoTime() + delay, this::pollPlatform);
  }
}
