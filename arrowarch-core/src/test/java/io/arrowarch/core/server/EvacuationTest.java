package io.arrowarch.core.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Servers of an evacuated zone are not used. After the evacuation they may be cold before their
 * entries say so; unlimited requests would overload them.
 */
public final class EvacuationTest {
  private static final Duration WARM_UP = Duration.ofSeconds(3);

  private ServerDirectory directory;

  @BeforeMethod
  public void create() {
    directory = new ServerDirectory(Duration.ofSeconds(3));
    add("a", "zone-a");
    add("b", "zone-a");
    add("c", "zone-c");
  }

  private void add(String id, String zone) {
    directory.onEntry(new ServerEntry(id, "s", "10.0.0.1:80", zone, 2, false, Duration.ZERO), 0);
  }

  private List<String> usable() {
    return directory.usable("s", 0).stream().map(ServerState::id).toList();
  }

  @Test
  public void theServersOfAnEvacuatedZoneAreNotUsed() {
    assertThat(directory.onEvacuated("zone-a")).isTrue();
    assertThat(directory.onEvacuated("zone-a")).isFalse();
    assertThat(usable()).containsExactly("c");
  }

  @Test
  public void evacuatedServersAreNoLastResort() {
    directory.onEvacuated("zone-a");
    directory.onEvacuated("zone-c");
    assertThat(usable()).isEmpty();
  }

  @Test
  public void serversAreUsedAgainAfterTheEvacuation() {
    directory.onEvacuated("zone-a");
    assertThat(directory.onEvacuationEnded("zone-a", service -> WARM_UP, 0)).isTrue();
    assertThat(directory.onEvacuationEnded("zone-a", service -> WARM_UP, 0)).isFalse();
    assertThat(usable()).containsExactly("a", "b", "c");
  }

  @Test
  public void serversAreColdAfterTheEvacuation() {
    directory.onEvacuated("zone-a");
    directory.onEvacuationEnded("zone-a", service -> WARM_UP, 0);
    assertThat(directory.find("a").orElseThrow().isCold(WARM_UP.toNanos() - 1)).isTrue();
    assertThat(directory.find("a").orElseThrow().isCold(WARM_UP.toNanos())).isFalse();
    assertThat(directory.find("c").orElseThrow().isCold(0)).isFalse();
  }
}
