package io.arrowarch.core.forward;

import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.event.RouterEvent;
import io.arrowarch.core.feed.FeedEntry;
import io.arrowarch.core.feed.FeedFailure;
import io.arrowarch.core.feed.FeedListener;
import io.arrowarch.core.feed.FeedTransport;
import io.arrowarch.core.feed.StoreFollower;
import io.arrowarch.core.intake.ArrivalPoll;
import io.arrowarch.core.route.RoutingConfiguration;
import io.arrowarch.core.route.ServiceSettings;
import io.arrowarch.core.server.ServerDirectory;
import io.arrowarch.core.server.ServerState;
import io.arrowarch.core.store.StoreRevision;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The logic of a router that forwards requests to servers. It reads its configuration and the
 * servers from the platform's store. A write to the store is valid once the store has acknowledged
 * it, so the routers need no consensus among themselves. While a process runs, it never returns to
 * an earlier configuration version.
 *
 * <p>Not thread-safe: the owner serialises all calls, and calls {@link #runTimers} no later than
 * the time that {@link #nextTimerNanos} returns.
 */
public final class ForwardingRouter implements FeedListener {
  private final RouterClock clock;
  private final EventLog events;
  private final TimerQueue timers;
  private final RouterGroup group;

  /**
   * The last-resort time is {@code FeedBounds.apply} divided by this number. For that time a server
   * that is leaving is still used if its service has no other server. The rest allows for the delay
   * until the router hears that the server is leaving.
   */
  static final int LAST_RESORT_DIVISOR = 2;

  private final ServerDirectory directory;
  private final Map<String, String> evacuatedZonesByKey = new HashMap<>();
  private final ServerFeed serverFeed;
  private final StoreFollower follower;
  private final ForwardCoordinator coordinator;
  private boolean stopping;
  private long malformedEntries;

  /**
   * Creates a router with no configuration and no servers. {@link #start} begins to read the store.
   *
   * @param arrivals tells when what has arrived is handled, so that new work may begin
   * @param group the routers that share the servers with this one
   */
  public ForwardingRouter(
      ForwardOptions options,
      RouterClock clock,
      TimerQueue timers,
      ArrivalPoll arrivals,
      RandomGenerator random,
      ServerTransport servers,
      FeedTransport feed,
      EventLog events,
      RouterGroup group) {
    this.clock = clock;
    this.timers = timers;
    this.events = events;
    this.group = group;
    this.directory = new ServerDirectory(options.store().apply().dividedBy(LAST_RESORT_DIVISOR));
    this.follower =
        new StoreFollower(
            feed,
            this,
            clock,
            timers,
            random,
            options.store(),
            new WatchRelays(options, group, clock));
    this.coordinator =
        new ForwardCoordinator(
            options,
            clock,
            timers,
            arrivals,
            random,
            directory,
            servers,
            events,
            group,
            () -> follower.view().age());
    this.serverFeed =
        new ServerFeed(
            directory, clock, events, coordinator::onServerEnded, coordinator::onServerVanished);
  }

  /** Starts reading the store. */
  public void start() {
    follower.start();
    coordinator.start();
  }

  /** Forwards a request; see {@link ForwardCoordinator#submit}. */
  public ForwardHandle submit(
      ForwardedRequest request, Consumer<Either<QueryError, ForwardedAnswer>> sink) {
    return coordinator.submit(request, sink);
  }

  /** Runs a search for another router, or declines it if this router is stopping. */
  public ForwardHandle submitDelegated(DelegatedSearch search, Consumer<DelegateReply> sink) {
    if (stopping) {
      sink.accept(new DelegateReply.Declined("the router is stopping"));
      return ForwardHandle.NONE;
    }
    return coordinator.submitDelegated(search, sink);
  }

  /** Receives the results of attempts. */
  public ForwardCoordinator coordinator() {
    return coordinator;
  }

  /** Receives the results of calls to the store. */
  public StoreFollower follower() {
    return follower;
  }

  /** The known servers. */
  public ServerDirectory directory() {
    return directory;
  }

  /** The number of malformed store entries received since the start. */
  public long malformedEntries() {
    return malformedEntries;
  }

  /** The configuration in force. */
  public Optional<RoutingConfiguration> configuration() {
    return coordinator.configuration();
  }

  /** How long a caller that does not say so is taken to wait. */
  public Duration defaultTimeLeft() {
    return coordinator.defaultTimeLeft();
  }

  /** Whether the router should get new connections from callers. */
  public boolean isReady() {
    return !stopping
        && coordinator.configuration().isPresent()
        && follower.view().isComplete()
        && !isWorseThanOthers();
  }

  /**
   * Whether callers should use another router: this router's view of the store is too old to accept
   * API keys, it knows of other routers, and none of them can be reached. If others can be reached,
   * their views are as old as this one's, and some router must serve the public routes.
   */
  private boolean isWorseThanOthers() {
    return coordinator.refusesApiKeys() && group.hasOthers() && group.liveRouters().isEmpty();
  }

  /** Begins a planned stop: the router is no longer ready, but still accepts requests. */
  public void onStopping() {
    stopping = true;
  }

  /**
   * Refuses, now and from now on, requests that no server has run and that may last beyond the end
   * of the process: their callers still have time to use another router.
   *
   * @param endNanos when the process ends, on the router's monotonic clock
   */
  public void startNoneBeyond(long endNanos) {
    coordinator.startNoneBeyond(endNanos);
  }

  /**
   * Gives each request its final answer, and refuses all that come from now on. To be called before
   * connections are closed.
   */
  public void endRequests() {
    coordinator.endRequests();
  }

  /** Whether a planned stop has begun. */
  public boolean isStopping() {
    return stopping;
  }

  /** Runs the timers that are due. */
  public void runTimers() {
    timers.runDue(clock.nanoTime());
  }

  /** The clock's time at which {@link #runTimers} must be called next; empty if no timer is set. */
  public OptionalLong nextTimerNanos() {
    return timers.nextDueNanos();
  }

  @Override
  public void onWritten(String key, FeedEntry entry, StoreRevision revision) {
    if (entry instanceof FeedEntry.Configuration written) {
      onConfiguration(written.configuration(), revision);
    } else if (entry instanceof FeedEntry.Server written) {
      // The first listing is logged as one line: hundreds of lines would slow down the start.
      boolean isLogged = follower.view().isComplete();
      long sinceNanos = follower.view().earliestChangeNanos();
      serverFeed.onWritten(key, written.entry(), sinceNanos, revision, isLogged);
    } else if (entry instanceof FeedEntry.Evacuation written) {
      onEvacuation(key, written.zone(), revision);
    } else if (entry instanceof FeedEntry.Malformed malformed) {
      onMalformed(key, malformed, revision);
    }
  }

  private void onMalformed(String key, FeedEntry.Malformed malformed, StoreRevision revision) {
    malformedEntries++;
    events.log(new RouterEvent.EntryMalformed(key, revision, malformed.fault()));
    if (malformed.kind() == FeedEntry.Kind.SERVER) {
      serverFeed.onMalformed(key, revision);
    } else {
      events.log(
          new RouterEvent.ConfigurationChanged(0, revision, "unreadable", malformed.fault(), 0));
    }
  }

  @Override
  public void onDeleted(String key, StoreRevision revision) {
    serverFeed.onGone(key, follower.view().earliestDeletionNanos(), revision);
    String zone = evacuatedZonesByKey.remove(key);
    if (zone != null && directory.onEvacuationEnded(zone, this::warmUpOf, clock.nanoTime())) {
      events.log(new RouterEvent.ZoneChanged(zone, "returned", revision));
    }
  }

  @Override
  public void onAnswerDelivered() {
    serverFeed.onAnswerDelivered();
  }

  @Override
  public void onListed(StoreRevision revision) {
    coordinator.onListed();
    logStore("listed", "", revision);
  }

  @Override
  public void onSourceChanged(Optional<String> relay) {
    logStore("follows", relay.orElse("the store"), follower.view().position());
  }

  @Override
  public void onStoreFailed(FeedFailure failure) {
    coordinator.onStoreLost();
    logStore("lost", failure.name(), StoreRevision.NONE);
  }

  @Override
  public void onHistoryGone(StoreRevision revision) {
    logStore("history gone", "the store no longer has the changes after this revision", revision);
  }

  @Override
  public void onNewEra(StoreRevision from, StoreRevision to) {
    String known =
        "the last known revision was era %d, revision %d".formatted(from.era(), from.number());
    logStore("older", known, to);
  }

  @Override
  public void onBehind(StoreRevision revision) {
    logStore("behind", "other routers have seen this revision", revision);
  }

  @Override
  public void onListedByPeer(StoreRevision revision) {
    coordinator.onListed();
    logStore("listed", "by another router", revision);
  }

  @Override
  public void onPeerListingFailed() {
    logStore(
        "lost", "another router did not answer the request for its listing", StoreRevision.NONE);
  }

  @Override
  public void onStoreRecovered() {
    logStore("regained", "", StoreRevision.NONE);
  }

  private void onConfiguration(RoutingConfiguration written, StoreRevision revision) {
    long inForce = coordinator.configuration().map(RoutingConfiguration::version).orElse(0L);
    boolean taken = written.version() > inForce;
    if (taken) {
      coordinator.reconfigure(written);
    }
    events.log(
        new RouterEvent.ConfigurationChanged(
            written.version(),
            revision,
            taken ? "taken" : "refused",
            taken ? "" : "version " + inForce + " is in force",
            written.routes().size()));
  }

  private Duration warmUpOf(String service) {
    return coordinator
        .configuration()
        .flatMap(known -> Optional.ofNullable(known.services().get(service)))
        .map(ServiceSettings::warmUp)
        .orElse(Duration.ZERO);
  }

  private void onEvacuation(String key, String zone, StoreRevision revision) {
    evacuatedZonesByKey.put(key, zone);
    if (directory.onEvacuated(zone)) {
      events.log(new RouterEvent.ZoneChanged(zone, "evacuated", revision));
    }
  }

  private void logStore(String state, String reason, StoreRevision revision) {
    long known = directory.all().stream().map(ServerState::status).count();
    events.log(new RouterEvent.StoreChanged(state, reason, revision, (int) known));
  }
}
