package io.arrowarch.core.quorum;

import com.google.common.collect.ImmutableMap;
import io.arrowarch.core.config.ConfigurationCodec;
import io.arrowarch.core.config.ConfigurationId;
import io.arrowarch.core.membership.Membership;
import io.arrowarch.core.peer.MemberRecord;
import io.arrowarch.core.peer.PeerBody;
import io.arrowarch.core.query.ServingPermit;
import io.arrowarch.core.quorum.ConfirmationRound.Statement;
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
 * Spreads configurations, decides when one is accepted, and holds the lease by which this node may
 * serve.
 *
 * <p>A configuration is accepted when, within one round, a majority of every voting group says that
 * it holds that one or a later one. A node serves only while its lease is valid: a majority of the
 * group of its zone said, in a round begun at most {@link #LEASE} ago, that it holds nothing newer.
 * The two majorities share a voter, so that once a configuration is accepted every node that serves
 * has it in force within {@link #LEASE}.
 */
public final class ConfigurationAgreement implements ServingPermit {
  /** How long a confirmed round lets a node serve, from the start of the round. */
  public static final Duration LEASE = Duration.ofSeconds(3);

  private static final Duration ROUND_INTERVAL = Duration.ofSeconds(1);
  private static final Duration LEAST_ROUND_SPACING = Duration.ofMillis(50);
  private static final int PUSH_FAN_OUT = 4;

  private final String zone;
  private final RouterClock clock;
  private final TimerQueue timers;
  private final Membership membership;
  private final ConfigurationStore store = new ConfigurationStore();
  private final RouterList routerList = new RouterList();
  private final VoterRecovery recovery;
  private final Map<String, Long> knownIncarnations = new HashMap<>();
  private final Consumer<Configuration> onApplied;
  private final Runnable onConfirmed;
  private VotingGroups groups;
  private ConfirmationRound round;
  private long nextRoundNumber = 1;
  private long leaseEndNanos = Long.MIN_VALUE;
  private boolean superseded;
  private Optional<ConfigurationId> majorityConflict = Optional.empty();

  /**
   * Creates the agreement of one node, which holds nothing.
   *
   * @param onApplied told each configuration that comes into force
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
    this.recovery = new VoterRecovery(membership.self().id(), clock.nanoTime(), routerList);
  }

  /** Starts the rounds. */
  public void start() {
    runRounds();
  }

  /** The configuration that this node holds. */
  public ConfigurationStore store() {
    return store;
  }

  /** Whether this node's statements count. */
  public boolean isVoting() {
    return recovery.isVoting();
  }

  /** Whether a voter of the group said that a later incarnation of this node exists. */
  public boolean isSuperseded() {
    return superseded || membership.isSuperseded();
  }

  /** Time left on the lease; zero when there is none. */
  public Duration leaseLeft() {
    long left = leaseEndNanos == Long.MIN_VALUE ? 0 : leaseEndNanos - clock.nanoTime();
    return Duration.ofNanos(Math.max(0, left));
  }

  @Override
  public boolean isConfirmed(long nowNanos) {
    return leaseEndNanos != Long.MIN_VALUE && nowNanos < leaseEndNanos && !isSuperseded();
  }

  /** Starts a round at once, for a node that has woken and has callers waiting. */
  public void confirmNow() {
    long nowNanos = clock.nanoTime();
    if (round == null || nowNanos - round.startNanos() >= LEAST_ROUND_SPACING.toNanos()) {
      startRound(nowNanos);
    }
  }

  /** Takes a document from the platform or from a peer. */
  public ConfigurationStore.Offer onDocument(String json) {
    boolean fromMajority = majorityConflict.isPresent();
    ConfigurationStore.Offer offer = fromMajority ? offerIfMajority(json) : store.offer(json);
    if (offer == ConfigurationStore.Offer.APPLIED) {
      applied();
    }
    return offer;
  }

  /** Takes the platform's list, which helps a voter to recover after many were lost. */
  public void onMachineList(MachineList list) {
    if (groups != null) {
      routerList.onList(list, groups.voters(), clock.nanoTime());
    }
  }

  /** Takes the configuration ids that ride on pings. */
  public void onNews(MemberRecord sender, ConfigurationId inForce, ConfigurationId accepted) {
    noteIncarnation(sender.id(), sender.incarnation());
    if (accepted.equals(store.inForceId())) {
      store.onAccepted(accepted);
    }
    if (inForce.version() > store.inForceId().version()) {
      membership.send(sender.address(), new PeerBody.ConfigurationRequest());
    }
  }

  /** Answers a request for the document. */
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

  /** Answers a round of another node. */
  public void onConfirmRequest(MemberRecord sender, PeerBody.ConfirmRequest request) {
    noteIncarnation(sender.id(), sender.incarnation());
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

  /** Takes a voter's statement. */
  public void onConfirmReply(MemberRecord sender, PeerBody.ConfirmReply reply) {
    if (reply.askerIncarnation() != membership.self().incarnation()) {
      return;
    }
    noteIncarnation(sender.id(), sender.incarnation());
    reply.incarnations().forEach(this::noteIncarnation);
    superseded |= reply.superseded();
    boolean outdatedSender = knownIncarnations.get(sender.id()) > sender.incarnation();
    long nowNanos = clock.nanoTime();
    boolean counts = round != null && reply.round() == round.number() && !round.isOver(nowNanos);
    if (!counts || outdatedSender) {
      return;
    }
    round.add(sender.id(), new Statement(reply.voting(), reply.held()));
    onNews(sender, reply.held(), reply.accepted());
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
      round.add(ownId, new Statement(recovery.isVoting(), store.inForceId()));
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

  /** The own group always; the other groups only while the configuration awaits acceptance. */
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
        round.add(membership.self().id(), new Statement(true, inForce));
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

  private void findMajorityConflict(MemberRecord sender, ConfigurationId held) {
    if (held.conflictsWith(store.inForceId())
        && round.hasMajority(groups.groupOfZone(zone), held::equals)) {
      majorityConflict = Optional.of(held);
      membership.send(sender.address(), new PeerBody.ConfigurationRequest());
    }
  }

  private ConfigurationStore.Offer offerIfMajority(String json) {
    boolean wanted =
        ConfigurationCodec.fromJson(json)
            .map(document -> Configuration.compile(document).id())
            .map(id -> id.equals(majorityConflict.get()))
            .getOrElse(false);
    return wanted ? store.offerFromMajority(json) : store.offer(json);
  }

  private void applied() {
    Configuration configuration = store.inForce().orElseThrow();
    majorityConflict = Optional.empty();
    groups = VotingGroups.of(configuration.document());
    onApplied.accept(configuration);
    PeerBody notice = new PeerBody.VersionNotice(configuration.id());
    membership.sample(PUSH_FAN_OUT).forEach(member -> membership.send(member.address(), notice));
    startRound(clock.nanoTime());
  }

  private void noteIncarnation(String id, long incarnation) {
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
