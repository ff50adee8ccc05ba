package io.arrowarch.core.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The choice between a server of the own zone and one of another zone. */
public final class ServerChooserTest {
  private static final long EXPECTED_NANOS = Duration.ofMillis(20).toNanos();

  /** By how much a server of another zone must be faster to be chosen. */
  private static final long OTHER_ZONE_PENALTY_NANOS = Duration.ofMillis(30).toNanos();

  private static final int CHOICES = 100;

  private final ServerChooser chooser = new ServerChooser("zone-a", new Random(1));
  private ServerDirectory directory;

  @BeforeMethod
  public void create() {
    directory = new ServerDirectory(Duration.ofMillis(1_500));
    add("near", "zone-a");
    add("far", "zone-b");
  }

  @Test
  public void staysInItsZoneWhileAnAnswerIsInTime() {
    // Both slots are taken: an attempt waits for half its length here, and not in the other zone.
    open("near", 2);

    assertThat(chosenNear(OTHER_ZONE_PENALTY_NANOS)).isEqualTo(CHOICES);
  }

  @Test
  public void takesTheFasterServerIfZonesCostNothing() {
    open("near", 2);

    assertThat(chosenNear(0)).isZero();
  }

  @Test
  public void leavesItsZoneIfItsQueueCostsMoreThanTheOtherZone() {
    open("near", 7);

    assertThat(chosenNear(OTHER_ZONE_PENALTY_NANOS)).isZero();
  }

  @Test
  public void leavesItsZoneIfItsServerIsStalled() {
    open("near", 1);

    long later = Duration.ofMillis(100).toNanos();
    assertThat(
            chooser
                .choose(servers(), EXPECTED_NANOS, OTHER_ZONE_PENALTY_NANOS, later)
                .orElseThrow()
                .id())
        .isEqualTo("far");
  }

  private int chosenNear(long otherZonePenaltyNanos) {
    int near = 0;
    for (int i = 0; i < CHOICES; i++) {
      if (chooser
          .choose(servers(), EXPECTED_NANOS, otherZonePenaltyNanos, 0)
          .orElseThrow()
          .id()
          .equals("near")) {
        near++;
      }
    }
    return near;
  }

  private List<ServerState> servers() {
    return directory.usable("s", 0);
  }

  private void add(String id, String zone) {
    ServerEntry entry = new ServerEntry(id, "s", "10.0.0.1:80", zone, 2, false, Duration.ZERO);
    directory.onEntry(entry, 0);
  }

  private void open(String id, int attempts) {
    for (int number = 0; number < attempts; number++) {
      directory.onStarted(id, number, 0, EXPECTED_NANOS);
    }
  }
}
