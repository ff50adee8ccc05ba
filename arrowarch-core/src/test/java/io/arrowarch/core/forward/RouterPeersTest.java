package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.arrowarch.core.FakeClock;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.peer.MemberRecord;
import io.arrowarch.core.peer.PeerBody;
import io.arrowarch.core.peer.PeerMessage;
import io.arrowarch.core.peer.StoreNews;
import io.arrowarch.core.store.StoreRevision;
import io.arrowarch.core.time.TimerQueue;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Several routers that gossip over a simulated network in virtual time; routers may die. */
public final class RouterPeersTest {
  private final FakeClock clock = new FakeClock();
  private final Map<String, RouterPeers> routers = new HashMap<>();
  private final Map<String, TimerQueue> timers = new HashMap<>();
  private final Set<String> dead = new HashSet<>();
  private final List<String> drains = new ArrayList<>();
  private final Map<String, Long> seen = new HashMap<>();
  private final Map<String, Long> heard = new HashMap<>();
  private final Map<String, Long> confirmedNanos = new HashMap<>();
  private final List<PeerMessage> acksOfR2 = new ArrayList<>();

  @BeforeMethod
  public void reset() {
    routers.clear();
    timers.clear();
    dead.clear();
    drains.clear();
    seen.clear();
    heard.clear();
    confirmedNanos.clear();
    acksOfR2.clear();
  }

  @Test
  public void theCountIsAnOverestimateUntilRoutersAreKnown() {
    assertThat(create("r1", List.of("r2", "r3")).count()).isEqualTo(9);
  }

  @Test
  public void deadRoutersAreCountedOnlyForAWhile() {
    for (int i = 1; i <= 6; i++) {
      create("r" + i, List.of("r1", "r2")).start();
    }
    run(Duration.ofSeconds(30));
    assertThat(routers.get("r5").count()).isEqualTo(6);

    dead.add("r6");
    dead.add("r4");
    run(Duration.ofSeconds(5));
    assertThat(routers.get("r5").count()).isEqualTo(6);
    run(Duration.ofSeconds(60));
    assertThat(routers.get("r5").count()).isEqualTo(4);
  }

  @Test
  public void aDrainReachesRoutersThatTheStoreDoesNot() {
    for (int i = 1; i <= 4; i++) {
      create("r" + i, List.of("r1")).start();
    }
    run(Duration.ofSeconds(10));
    routers.get("r2").announceDrain("server-7");
    run(Duration.ofSeconds(8));

    assertThat(drains).contains("r3 server-7", "r4 server-7");
  }

  @Test
  public void aRouterThatRestartsAloneKnowsThatOthersServe() {
    create("r1", List.of("r2"), 1_000_000).start();
    create("r2", List.of("r1"), 1_000_300).start();
    run(Duration.ofSeconds(3));
    assertThat(routers.get("r1").hasEstablishedPeer()).isFalse();
    assertThat(routers.get("r2").hasEstablishedPeer()).isFalse();

    create("r3", List.of("r1"), 1_020_000).start();
    run(Duration.ofMillis(200));
    assertThat(routers.get("r3").hasEstablishedPeer()).isTrue();
    assertThat(routers.get("r1").hasEstablishedPeer()).isFalse();

    create("r4", List.of("r1", "r2"), 1_040_000).start();
    dead.addAll(List.of("r1", "r2", "r3"));
    run(Duration.ofMillis(50));
    assertThat(create("r5", List.of("r1"), 1_050_000).hasEstablishedPeer()).isFalse();
  }

  @Test
  public void manyRoutersThatStartTogetherKnowEachOtherSoon() {
    for (int number = 1; number <= 60; number++) {
      create("r" + number, List.of("r1", "r2", "r3"), number).start();
    }
    run(Duration.ofSeconds(2));

    for (RouterPeers peers : routers.values()) {
      assertThat(peers.liveRouters()).hasSizeGreaterThan(54);
    }
  }

  @Test
  public void everyRouterHearsOfTheNewestRevisionThatAnyHasSeen() {
    for (String id : List.of("r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8")) {
      create(id, List.of("r1")).start();
    }
    run(Duration.ofSeconds(3));
    seen.put("r8", 70L);
    // Each router pings one of the seven others in turn, once in a period of at most 1.5 s.
    run(Duration.ofSeconds(12));

    assertThat(heard).containsEntry("r1", 70L).containsEntry("r4", 70L).containsEntry("r7", 70L);
  }

  /**
   * A router restarts while an ack to its previous incarnation is still in transit or unread. If
   * the ack were matched with a ping of the new incarnation, the view would be dated too late.
   */
  @Test
  public void anAckToAnEarlierIncarnationConfirmsNothing() {
    confirmedNanos.put("r2", clock.nanoTime());
    create("r2", List.of()).start();
    create("r1", List.of("r2"), 1).start();
    List<PeerMessage> acks = List.copyOf(acksOfR2);
    assertThat(acks).isNotEmpty();
    clock.advance(Duration.ofSeconds(3));
    dead.add("r2");
    RouterPeers restarted = create("r1", List.of("r2"), 2);
    restarted.start();
    confirmedNanos.remove("r1");
    acks.forEach(restarted::onMessage);

    assertThat(confirmedNanos).doesNotContainKey("r1");
  }

  private RouterPeers create(String id, List<String> contacts) {
    return create(id, contacts, 1);
  }

  private RouterPeers create(String id, List<String> contacts, long incarnation) {
    TimerQueue queue = new TimerQueue();
    MemberRecord self =
        new MemberRecord(id, "zone", id, 1, incarnation, 0, MemberRecord.State.ALIVE);
    RouterPeers peers =
        new RouterPeers(
            self,
            contacts,
            clock,
            queue,
            new Random(id.hashCode() + incarnation),
            (address, message) -> deliver(id, address, message),
            EventLog.NONE,
            server -> drains.add(id + " " + server),
            new RouterPeers.StoreRevisions() {
              @Override
              public StoreNews news() {
                StoreRevision newest = new StoreRevision(0, seen.getOrDefault(id, 0L));
                long age =
                    Optional.ofNullable(confirmedNanos.get(id))
                        .map(nanos -> Duration.ofNanos(clock.nanoTime() - nanos).toMillis() + 1)
                        .orElse(StoreNews.NEVER);
                return new StoreNews(newest, newest, age, 0);
              }

              @Override
              public void onConfirmedByPeer(StoreRevision revision, long askedNanos, Duration age) {
                confirmedNanos.merge(id, askedNanos - age.toNanos(), Math::max);
              }

              @Override
              public void onSeenByPeer(StoreNews news, String address, boolean near) {
                heard.merge(id, news.newest().number(), Math::max);
              }
            },
            message -> {});
    routers.put(id, peers);
    timers.put(id, queue);
    return peers;
  }

  private void deliver(String from, String to, PeerMessage message) {
    RouterPeers receiver = routers.get(to);
    if (from.equals("r2") && message.body() instanceof PeerBody.Ack) {
      acksOfR2.add(message);
    }
    if (receiver != null && !dead.contains(from) && !dead.contains(to)) {
      receiver.onMessage(message);
    }
  }

  private void run(Duration length) {
    for (long millis = 0; millis < length.toMillis(); millis += 50) {
      clock.advance(Duration.ofMillis(50));
      timers.forEach(
          (id, queue) -> {
            if (!dead.contains(id)) {
              queue.runDue(clock.nanoTime());
              int unused = routers.get(id).count();
            }
          });
    }
  }
}
