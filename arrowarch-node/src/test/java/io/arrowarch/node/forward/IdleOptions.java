package io.arrowarch.node.forward;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.feed.FeedBounds;
import io.arrowarch.core.forward.ColdServerRules;
import io.arrowarch.core.forward.ExtraAttemptRules;
import io.arrowarch.core.forward.ForwardOptions;
import io.arrowarch.core.forward.ServerAttempt;
import io.arrowarch.core.forward.ServerTransport;
import io.arrowarch.core.tenant.LimitRules;
import io.arrowarch.core.tenant.RevocationRules;
import io.arrowarch.core.tenant.TenantRules;
import java.time.Duration;

/** What a router needs that stands behind a client under test and decides nothing. */
final class IdleOptions {
  private static final Duration TIME_LEFT = Duration.ofSeconds(5);

  static final ForwardOptions OPTIONS =
      new ForwardOptions(
          "a",
          "zone-a",
          1,
          1,
          new ExtraAttemptRules(0, 0, Duration.ofSeconds(10)),
          TIME_LEFT,
          new FeedBounds(TIME_LEFT, TIME_LEFT, Duration.ofSeconds(3), false),
          ColdServerRules.EXACT,
          ImmutableMap.of(),
          new TenantRules(
              new RevocationRules(false, Duration.ofSeconds(3)),
              new LimitRules(Duration.ofSeconds(5), 0.25, 20)),
          ImmutableSet.of());

  private IdleOptions() {}

  static final class NoServers implements ServerTransport {
    @Override
    public void send(ServerAttempt attempt) {}

    @Override
    public boolean cancel(ServerAttempt attempt) {
      return false;
    }
  }
}
