package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.server.ServerEntry;
import java.time.Duration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Servers that a request must not reach: those in other regions, in evacuated zones, and cold
 * servers at their limit.
 */
public final class ServerRestrictionsTest {
  private ForwardFixture fixture;

  @BeforeMethod
  public void create() {
    fixture = new ForwardFixture();
    fixture.serverOf("zone-a", "north", "s");
    fixture.serverOf("zone-b", "south", "s");
  }

  private void submitMany() {
    for (int i = 0; i < 20; i++) {
      fixture.submit();
    }
  }

  private void assertOnlyServer(String id) {
    assertThat(fixture.sent).extracting(attempt -> attempt.server().id()).containsOnly(id);
  }

  @Test
  public void aRouteWithRegionsIsServedThereOnly() {
    fixture.regions = ImmutableSet.of("south");
    fixture.route(true, "s");
    submitMany();
    fixture.advance(Duration.ofMillis(150));
    fixture.fail(fixture.attempt(0), ServerFailure.BROKEN);
    assertOnlyServer("south");
  }

  @Test
  public void aRouteWhoseRegionsHaveNoServerIsRefusedAtOnce() {
    fixture.regions = ImmutableSet.of("elsewhere");
    fixture.route(true, "s");
    fixture.submit();
    assertThat(fixture.error(0).executed()).isEqualTo(Executed.NO);
    assertThat(fixture.sent).isEmpty();
  }

  @Test
  public void secondAttemptsDoNotReachAnEvacuatedZone() {
    fixture.route(true, "s");
    fixture.directory.onEvacuated("zone-b");
    submitMany();
    fixture.advance(Duration.ofMillis(150));
    fixture.fail(fixture.attempt(0), ServerFailure.BROKEN);
    assertOnlyServer("north");
  }

  @Test
  public void requestIsRefusedAtOnceWhenAllItsZonesAreEvacuated() {
    fixture.route(true, "s");
    fixture.directory.onEvacuated("zone-a");
    fixture.directory.onEvacuated("zone-b");
    fixture.submit();
    assertThat(fixture.error(0).executed()).isEqualTo(Executed.NO);
    assertThat(fixture.error(0).retryAfter()).isPresent();
  }

  @Test
  public void shardsOfAnEvacuatedZoneAreReportedAsMissing() {
    fixture.serverOf("zone-a", "n1", "s1");
    fixture.serverOf("zone-b", "n2", "s2");
    fixture.route(true, "s1", "s2");
    fixture.directory.onEvacuated("zone-b");
    fixture.submit();
    fixture.answer(fixture.attempt(0));
    assertThat(fixture.sent).hasSize(1);
    assertThat(fixture.merged(0).missingParts()).isEqualTo(1);
  }

  @Test
  public void coldServerGetsNoMoreThanItsLimit() {
    fixture.coldRequestsPerSecond = 2;
    fixture.route(true, "s");
    cold("north", "zone-a");
    cold("south", "zone-b");
    submitMany();
    // 1.5 x 2 + 5 = 8 requests per second and server, shared by four routers.
    assertThat(fixture.sent).hasSizeBetween(2, 4);
    assertThat(fixture.outcomes).hasSize(20 - fixture.sent.size());
    assertThat(fixture.error(0).executed()).isEqualTo(Executed.NO);
  }

  private void cold(String id, String zone) {
    fixture.directory.onEntry(
        new ServerEntry(id, "s", "10.0.0.1:80", zone, 2, false, Duration.ofSeconds(3)),
        fixture.clock.nanoTime());
  }
}
