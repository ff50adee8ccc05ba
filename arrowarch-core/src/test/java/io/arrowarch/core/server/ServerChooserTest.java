package io.arrowarch.core.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ServerChooserTest {
  private static final long USUAL = Duration.ofMillis(20).toNanos();

  /** What the objective gives for a server of the own zone. */
  private static final long GIVEN = Duration.ofMillis(30).toNanos();

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
  public void servesFromItsOwnZoneWhileThatIsInTimeAllTheSame() {
    // Both slots are taken: a wait of half a length, where the other zone has none.
    open("near", 2);

    assertThat(chosenNear(GIVEN)).isEqualTo(CHOICES);
  }

  @Test
  public void takesTheFasterServerWhenNothingIsGivenForTheZone() {
    open("near", 2);

    assertThat(chosenNear(0)).isZero();
  }

  @Test
  public void leavesItsZoneWhenTheQueueThereCostsMoreThanIsGiven() {
    open("near", 7);

    assertThat(chosenNear(GIVEN)).isZero();
  }

  @Test
  public void leavesItsZoneWhenTheServerThereStandsStill() {
    open("near", 1);

    long later = Duration.ofMillis(100).toNanos();
    assertThat(chooser.choose(servers(), USUAL, GIVEN, later).orElseThrow().id()).isEqualTo("far");
  }

  private int chosenNear(long given) {
    int near = 0;
    for (int i = 0; i < CHOICES; i++) {
      if (chooser.choose(servers(), USUAL, given, 0).orElseThrow().id().equals("near")) {
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
      directory.onStarted(id, number, 0, USUAL);
    }
  }
}
