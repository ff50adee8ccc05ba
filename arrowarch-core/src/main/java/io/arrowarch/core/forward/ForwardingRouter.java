package io.arrowarch.core.forward;

import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.event.RouterEvent;
import io.arrowarch.core.feed.FeedEntry;
import io.arrowarch.core.feed.FeedFailure;
import io.arrowarch.core.feed.FeedListener;
import io.arrowarch.core.feed.FeedTransport;
import io.arrowarch.core.feed.StoreFollower;
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
 * The decisions of a router that passes requests on as they come. Configuration and servers come
 * from the platform's store; the store's answer is the acknowledgement, so that no agreement among
 * routers is needed. Within the life of a process the configuration never goes back.
 *
 * <p>Not thread-safe: the owner serialises all calls, and calls {@link #runTimers} no later than
 * {@link #nextTimerNanos} says.
 */
public final class ForwardingRouter implements FeedListener {
  private final RouterClock clock;
  private final EventLog events;
  private final TimerQueue timers;
  private final RouterGroup group;

  /**
   * The part of the time within which a leaving server must get nothing more for which it is still
   * used where its service has no other. The rest is for the way of the news.
   */
  private static final int LAST_RESORT_DIVISOR = 2;

  private final ServerDirectory directory;
  private final Map<String, String> evacuatedZonesByKey = new HashMap<>();
  private final ServerFeed serverFeed;
  private final StoreFollower follower;
  private final ForwardCoordinator coordinator;
  private boolean stopping;
  private long malformedEntries;

  /**
   * Creates a router that knows nothing yet.
   *
   * @param group the other routers
   */
  public ForwardingRouter(
      ForwardOptions options,
      RouterClock clock,
      TimerQueue timers,
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
            new Lookouts(options, group, clock));
    this.coordinator =
        new ForwardCoordinator(
            options,
            clock,
            timers,
            random,
            directory,
            servers,
            events,
            group,
            () -> follower.view().age());
    this.serverFeed =
        new ServerFeed(directory, clock, events, server -> coordinator.onServerEnded(server));
  }

  /** Starts to read the store. */
  public void start() {
    follower.start();
    coordinator.start();
  }

  /** See {@link ForwardCoordinator#submit}. */
  public ForwardHandle submit(
      ForwardedRequest request, Consumer<Either<QueryError, ForwardedAnswer>> sink) {
    return coordinator.submit(request, sink);
  }

  /** Runs a search for another router; a router that stops declines it. */
  public ForwardHandle submitDelegated(DelegatedSearch search, Consumer<DelegateReply> sink) {
    if (stopping) {
      sink.accept(new DelegateReply.Declined("the router is stopping"));
      return ForwardHandle.NONE;
    }
    return coordinator.submitDelegated(search, sink);
  }

  /** The part that attempts report to. */
  public ForwardCoordinator coordinator() {
    return coordinator;
  }

  /** The part that calls of the store report to. */
  public StoreFollower follower() {
    return follower;
  }

  /** The servers that this router knows. */
  public ServerDirectory directory() {
    return directory;
  }

  /** Entries of the store that were not what their keys are for, since the start. */
  public long malformedEntries() {
    return malformedEntries;
  }

  /** The configuration in force. */
  public Optional<RoutingConfiguration> configuration() {
    return coordinator.configuration();
  }

  /** Whether new connections of callers are welcome. */
  public boolean isReady() {
    return !stopping
        && coordinator.configuration().isPresent()
        && follower.view().isComplete()
        && !isWorseThanOthers();
  }

  /**
   * Whether callers are better off elsewhere: this router's view is too old for their keys, and it
   * hears no other router. Where it does, the others' views are no younger, and somebody must serve
   * public routes.
   */
  private boolean isWorseThanOthers() {
    return coordinator.refusesApiKeys() && group.hasOthers() && group.liveRouters().isEmpty();
  }

  /** A planned stop begins: not ready from now on, but requests are still taken. */
  public void onStopping() {
    stopping = true;
  }

  /** Whether a planned stop has begun. */
  public boolean isStopping() {
    return stopping;
  }

  /** Runs what is due. */
  public void runTimers() {
    timers.runDue(clock.nanoTime());
  }

  /** When {@link #runTimers} must be called next. */
  public OptionalLong nextTimerNanos() {
    return timers.nextDueNanos();
  }

  @Override
  public void onWritten(String key, FeedEntry entry, StoreRevision revision) {
    if (entry instanceof FeedEntry.Configuration written) {
      onConfiguration(written.configuration(), revision);
    } else if (entry instanceof FeedEntry.Server written) {
      // The first listing has one line in all: hundreds would take a good part of a start.
      boolean isLogged = follower.view().isComplete();
      long sinceNanos = follower.view().changedSinceNanos();
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
    serverFeed.onGone(key, follower.view().deletedSinceNanos(), revision);
    String zone = evacuatedZonesByKey.remove(key);
    if (zone != null && directory.onEvacuationEnded(zone, this::warmUpOf, clock.nanoTime())) {
      events.log(new RouterEvent.ZoneChanged(zone, "returned", revision));
    }
  }

  @Override
  public void onAnswerTold() {
    serverFeed.onAnswerTold();
  }

  @Override
  public void onListed(StoreRevision revision) {
    coordinator.onListed();
    logStore("listed", "", revision);
  }

  @Override
  public void onSource(Optional<String> lookout) {
    logStore("follows", lookout.orElse("the store"), follower.view().position());
  }

  @Override
  public void onLost(FeedFailure failure) {
    coordinator.onStoreLost();
    logStore("lost", failure.name(), StoreRevision.NONE);
  }

  @Override
  public void onHistoryGone(StoreRevision revision) {
    logStore("history gone", "the store cannot go on from this revision", revision);
  }

  @Override
  public void onNewEra(StoreRevision from, StoreRevision to) {
    String known = "era %d, revision %d was known".formatted(from.era(), from.number());
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
    logStore("lost", "another router gave no listing", StoreRevision.NONE);
  }

  @Override
  public void onRegained() {
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
