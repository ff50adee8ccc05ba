package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.FakeClock;
import io.arrowarch.core.peer.LiveRouter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Two routers in virtual time. Every shard has servers in the zone of the second router, only some
 * have servers in the zone of the first. Searches that the first delegates to the second, and the
 * replies, wait until the test delivers them.
 */
final class RouterPair implements RouterGroup, DelegateTransport {
  static final ImmutableList<String> SHARDS = ImmutableList.of("s1", "s2", "s3", "s4", "s5", "s6");

  private static final ImmutableList<String> NEAR_BOTH = SHARDS.subList(0, 3);

  /** Too many routers for each to have its own connections to every server. */
  private static final int ROUTERS = 20;

  private static final LiveRouter DELEGATE =
      new LiveRouter("router-b", 1, "zone-b", "10.0.0.2:1", 1);

  /** Later than the first window, in which routers have no allowance of extra attempts. */
  private static final Duration AGE = Duration.ofSeconds(11);

  final FakeClock clock = new FakeClock();
  final ForwardFixture near;
  final ForwardFixture far;

  /** Searches that the first router has delegated and the second has not received, by number. */
  final Map<Long, DelegatedSearch> underWay = new HashMap<>();

  /** Replies that the first router has not received, by number. */
  final Map<Long, DelegateReply> replies = new HashMap<>();

  final List<Long> cancelled = new ArrayList<>();
  private final Map<Long, ForwardHandle> handles = new HashMap<>();
  private ImmutableList<LiveRouter> liveRouters = ImmutableList.of(DELEGATE);

  RouterPair() {
    near = new ForwardFixture(clock, "zone-a", this);
    far = new ForwardFixture(clock, "zone-b", RouterGroup.ofCount(ROUTERS));
    route(1);
    for (ForwardFixture router : List.of(near, far)) {
      for (String shard : NEAR_BOTH) {
        router.serverOf("zone-a", shard + "-a", shard);
      }
      for (String shard : SHARDS) {
        router.serverOf("zone-b", shard + "-b", shard);
        router.serverOf("zone-c", shard + "-c", shard);
      }
    }
    clock.advance(AGE);
    runTimers();
  }

  void route(long version) {
    routeNear(version);
    routeFar(version);
  }

  void routeNear(long version) {
    near.route(version, true, SHARDS.toArray(new String[0]));
  }

  void routeFar(long version) {
    far.route(version, true, SHARDS.toArray(new String[0]));
  }

  /** Gives the second router a later version in which the index has fewer shards. */
  void cutFarIntoFewerShards(long version) {
    far.route(version, true, SHARDS.subList(0, SHARDS.size() - 1).toArray(new String[0]));
  }

  /**
   * Gives the second router a later version in which the route goes to one server, not a search.
   */
  void routeFarToOneServer(long version) {
    far.route(version, true, "s");
  }

  /** Adds a second delegate in the same zone. */
  void addDelegate() {
    liveRouters =
        ImmutableList.of(
            DELEGATE, new LiveRouter("router-c", 1, "zone-b", "10.0.0.3:1", DELEGATE.cores()));
  }

  void loseDelegate() {
    liveRouters = ImmutableList.of();
  }

  /** Delivers one delegated search to the second router. */
  void deliver(long number) {
    DelegatedSearch search = underWay.remove(number);
    Optional.ofNullable(search)
        .ifPresent(
            taken ->
                handles.put(
                    number,
                    far.coordinator.submitDelegated(taken, reply -> replies.put(number, reply))));
  }

  /** Delivers one reply to the first router. */
  void reply(long number) {
    Optional.ofNullable(replies.remove(number))
        .ifPresent(reply -> near.coordinator.onDelegateReply(number, reply));
  }

  void advance(Duration length) {
    for (long millis = 0; millis < length.toMillis(); millis++) {
      clock.advance(Duration.ofMillis(1));
      runTimers();
    }
  }

  private void runTimers() {
    near.advance(Duration.ZERO);
    far.advance(Duration.ZERO);
  }

  @Override
  public void send(long number, LiveRouter delegate, DelegatedSearch search) {
    underWay.put(number, search);
  }

  @Override
  public void cancel(long number) {
    cancelled.add(number);
    underWay.remove(number);
    replies.remove(number);
    Optional.ofNullable(handles.get(number)).ifPresent(ForwardHandle::cancel);
  }

  @Override
  public int count() {
    return ROUTERS;
  }

  @Override
  public ImmutableList<LiveRouter> liveRouters() {
    return liveRouters;
  }

  @Override
  public DelegateTransport transport() {
    return this;
  }
}
