package io.arrowarch.core.quorum;

import com.google.common.collect.ImmutableMap;
import io.arrowarch.core.config.ConfigurationCodec;
import io.arrowarch.core.config.ConfigurationId;
import io.arrowarch.core.membership.Membership;
import io.arrowarch.core.peer.MemberRecord;
import io.arrowarch.core.peer.PeerBody;
import io.arrowarch.core.query.ServingPermit;
import io.arrowarch.core.quorum.ConfirmationRound.VoterReply;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import io.arrowarch.core.topology.Configuration;
import io.arrowarch.core.wire.MachineList;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Distributes configurations among routers, decides when one is accepted, and holds the lease that
 * permits this router to serve queries.
 *
 * <p>A configuration is accepted when, within one round, a majority of every voting group reports
 * that it holds this configuration or a later one. A router serves only while its lease is valid.
 * The lease is extended when a majority of the voting group of its zone reports, within one round,
 * that it holds nothing newer; it ends {@link #LEASE} after that round started. The two majorities
 * have a voter in common. Therefore, {@link #LEASE} after a configuration was accepted, each router
 * that still serves has it or a later one in force.
 */
public final class ConfigurationAgreement implements ServingPermit {
  /** How long a router may serve after the start of a round that a majority confirmed. */
  public static final Duration LEASE = Duration.ofSeconds(3);

  private static final Duration ROUND_INTERVAL = Duration.ofSeconds(1);
  private static final Duration MINIMUM_ROUND_SPACING = Duration.ofMillis(50);
  private static final int PUSH_FAN_OUT = 4;

  private final String zone;
  private final RouterClock clock;
  private final TimerQueue timers;
  private final Membership membership;
  private final ConfigurationStore store = new ConfigurationStore();
  private final MissingRouters missingRouters = new MissingRouters();
  private final VoterRecovery recovery;
  private final Map<String, Long> knownIncarnations = new HashMap<>();
  private final Consumer<Configuration> onApplied;
  private final Runnable onConfirmed;
  private VotingGroups groups;
  private ConfirmationRound round;
  private long nextRoundNumber = 1;
  private long leaseEndNanos = Long.MIN_VALUE;
  private boolean superseded;

  /** A document that a majority of the own group holds and that conflicts with the one in force. */
  private Optional<ConfigurationId> majorityConflict = Optional.empty();

  /**
   * Creates the agreement of one router, without a configuration.
   *
   * @param onApplied called with each configuration that comes into force
   * @param onConfirmed called whenever the lease is extended
   */
  public ConfigurationAgreement(
      String zone,
      RouterClock clock,
      TimerQueue timers,
      Membership membership,
      Consumer<Configuration> onApplied,
      Runnable onConfirmed) {
    this.zone = zone;
    this.clock = clock;
    this.timers = timers;
    this.membership = membership;
    this.onApplied = onApplied;
    this.onConfirmed = onConfirmed;
    this.recovery = new VoterRecovery(membership.self().id(), clock.nanoTime(), missingRouters);
  }

  /** Starts a confirmation round and schedules the next ones. */
  public void start() {
    runRounds();
  }

  /** The configurations that this router has in force, knows as accepted, and refused last. */
  public ConfigurationStore store() {
    return store;
  }

  /** Whether this router votes; a restarted router does so only after {@link VoterRecovery}. */
  public boolean isVoting() {
    return recovery.isVoting();
  }

  /** Whether another router reported a later incarnation of this router. */
  public boolean isSuperseded() {
    return superseded || membership.isSuperseded();
  }

  /** Remaining time of the lease; zero without a lease. */
  public Duration leaseLeft() {
    long left = leaseEndNanos == Long.MIN_VALUE ? 0 : leaseEndNanos - clock.nanoTime();
    return Duration.ofNanos(Math.max(0, left));
  }

  @Override
  public boolean isConfirmed(long nowNanos) {
    return leaseEndNanos != Long.MIN_VALUE && nowNanos < leaseEndNanos && !isSuperseded();
  }

  /**
   * Starts a round at once, unless the last one has only just started. Called when queries wait for
   * the lease, for example after this process was suspended.
   */
  public void confirmNow() {
    long nowNanos = clock.nanoTime();
    if (round == null || nowNanos - round.startNanos() >= MINIMUM_ROUND_SPACING.toNanos()) {
      startRound(nowNanos);
    }
  }

  /** Handles a configuration document from the platform or from another router. */
  public ConfigurationStore.OfferResult onDocument(String json) {
    boolean hasConflict = majorityConflict.isPresent();
    ConfigurationStore.OfferResult offer = hasConflict ? offerIfMajority(json) : store.offer(json);
    if (offer == ConfigurationStore.OfferResult.APPLIED) {
      handleApplied();
    }
    return offer;
  }

  /**
   * Handles the platform's list of machines. A recovering voter needs it when so many other voters
   * are lost that no majority can reply.
   */
  public void onMachineList(MachineList list) {
    if (groups != null) {
      missingRouters.onList(list, groups.voters(), clock.nanoTime());
    }
  }

  /** Handles the configuration ids that pings and other messages from a router carry. */
  public void onPeerConfigurationIds(
      MemberRecord sender, ConfigurationId inForce, ConfigurationId accepted) {
    recordIncarnation(sender.id(), sender.incarnation());
    if (accepted.equals(store.inForceId())) {
      store.onAccepted(accepted);
    }
    if (inForce.version() > store.inForceId().version()) {
      membership.send(sender.address(), new PeerBody.ConfigurationRequest());
    }
  }

  /** Sends the document in force to the router that requested it. */
  public void onConfigurationRequest(MemberRecord sender) {
    store
        .inForce()
        .ifPresent(
            configuration ->
                membership.send(
                    sender.address(),
                    new PeerBody.ConfigurationOffer(
                        ConfigurationCodec.toJson(configuration.document()))));
  }

  /** Replies to a confirmation request of another router. */
  public void onConfirmRequest(MemberRecord sender, PeerBody.ConfirmRequest request) {
    recordIncarnation(sender.id(), sender.incarnation());
    boolean outdated = knownIncarnations.get(sender.id()) > sender.incarnation();
    membership.send(
        sender.address(),
        new PeerBody.ConfirmReply(
            sender.incarnation(),
            request.round(),
            recovery.isVoting() && !isSuperseded(),
            store.inForceId(),
            store.accepted(),
            outdated,
            request.recovering() ? voterIncarnations() : ImmutableMap.of()));
    if (request.held().version() > store.inForceId().version()) {
      membership.send(sender.address(), new PeerBody.ConfigurationRequest());
    }
  }

  /**
   * Handles a voter's reply. Ignores a reply to an earlier incarnation of this router. A reply that
   * is late, belongs to another round or comes from an outdated incarnation of the voter is not
   * counted in the round. The incarnations of the sender and of the voters that it reports are
   * recorded even then, and so is its report that this router is superseded.
   */
  public void onConfirmReply(MemberRecord sender, PeerBody.ConfirmReply reply) {
    if (reply.askerIncarnation() != membership.self().incarnation()) {
      return;
    }
    recordIncarnation(sender.id(), sender.incarnation());
    reply.incarnations().forEach(this::recordIncarnation);
    superseded |= reply.superseded();
    boolean outdatedSender = knownIncarnations.get(sender.id()) > sender.incarnation();
    long nowNanos = clock.nanoTime();
    boolean counts = round != null && reply.round() == round.number() && !round.isOver(nowNanos);
    if (!counts || outdatedSender) {
      return;
    }
    round.add(sender.id(), new VoterReply(reply.voting(), reply.held()));
    onPeerConfigurationIds(sender, reply.held(), reply.accepted());
    evaluate(nowNanos);
    findMajorityConflict(sender, reply.held());
  }

  private void runRounds() {
    timers.schedule(clock.nanoTime() + ROUND_INTERVAL.toNanos(), this::runRounds);
    startRound(clock.nanoTime());
  }

  private void startRound(long nowNanos) {
    if (groups == null) {
      return;
    }
    round = new ConfirmationRound(nextRoundNumber++, nowNanos);
    String ownId = membership.self().id();
    if (groups.voters().contains(ownId) && !isSuperseded()) {
      round.add(ownId, new VoterReply(recovery.isVoting(), store.inForceId()));
    }
    boolean recovering = groups.voters().contains(ownId) && !recovery.isVoting();
    PeerBody request = new PeerBody.ConfirmRequest(round.number(), recovering, store.inForceId());
    for (String voter : votersToAsk()) {
      if (!voter.equals(ownId)) {
        membership.find(voter).ifPresent(member -> membership.send(member.address(), request));
      }
    }
    evaluate(nowNanos);
  }

  /** The voters of the own group, and those of all groups until the configuration is accepted. */
  private Iterable<String> votersToAsk() {
    boolean accepted = store.accepted().equals(store.inForceId());
    return accepted ? groups.groupOfZone(zone).voters() : groups.voters();
  }

  private void evaluate(long nowNanos) {
    VotingGroup ownGroup = groups.groupOfZone(zone);
    ConfigurationId inForce = store.inForceId();
    if (!recovery.isVoting()) {
      recovery.evaluate(round, ownGroup, inForce, nowNanos);
      if (recovery.isVoting()) {
        round.add(membership.self().id(), new VoterReply(true, inForce));
      }
    }
    if (round.hasMajority(ownGroup, inForce::covers)) {
      leaseEndNanos = Math.max(leaseEndNanos, round.startNanos() + LEASE.toNanos());
      onConfirmed.run();
    }
    boolean accepted =
        groups.all().stream()
            .allMatch(group -> round.hasMajority(group, held -> held.covers(inForce)));
    if (accepted) {
      store.onAccepted(inForce);
    }
  }

  /** Requests the document of a sender if it conflicts with the own one and a majority holds it. */
  private void findMajorityConflict(MemberRecord sender, ConfigurationId held) {
    if (held.conflictsWith(store.inForceId())
        && round.hasMajority(groups.groupOfZone(zone), held::equals)) {
      majorityConflict = Optional.of(held);
      membership.send(sender.address(), new PeerBody.ConfigurationRequest());
    }
  }

  /**
   * Offers a document. One that a majority of the own group holds may replace a different document
   * with the same version; any other is offered as usual.
   */
  private ConfigurationStore.OfferResult offerIfMajority(String json) {
    boolean isFromMajority =
        ConfigurationCodec.fromJson(json)
            .map(document -> Configuration.compile(document).id())
            .map(id -> id.equals(majorityConflict.get()))
            .getOrElse(false);
    return isFromMajority ? store.offerFromMajority(json) : store.offer(json);
  }

  private void handleApplied() {
    Configuration configuration = store.inForce().orElseThrow();
    majorityConflict = Optional.empty();
    groups = VotingGroups.of(configuration.document());
    onApplied.accept(configuration);
    PeerBody notice = new PeerBody.VersionNotice(configuration.id());
    membership.sample(PUSH_FAN_OUT).forEach(member -> membership.send(member.address(), notice));
    startRound(clock.nanoTime());
  }

  private void recordIncarnation(String id, long incarnation) {
    knownIncarnations.merge(id, incarnation, Math::max);
  }

  private ImmutableMap<String, Long> voterIncarnations() {
    ImmutableMap.Builder<String, Long> known = ImmutableMap.builder();
    for (String voter : groups == null ? Set.<String>of() : groups.voters()) {
      if (knownIncarnations.containsKey(voter)) {
        known.put(voter, knownIncarnations.get(voter));
      }
    }
    return known.buildOrThrow();
  }
}
