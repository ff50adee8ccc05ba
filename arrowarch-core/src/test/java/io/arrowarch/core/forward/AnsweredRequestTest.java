package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import java.lang.ref.WeakReference;
import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.Test;

/** What a router keeps of a request that has been answered, while its deadline lies far ahead. */
public final class AnsweredRequestTest {
  private static final Duration PATIENCE = Duration.ofSeconds(20);

  /** Timers held requests with their bodies until the deadlines of their attempts. */
  @Test
  public void bodyHeldByTimersUntilTheDeadline() throws InterruptedException {
    ForwardFixture fixture = new ForwardFixture();
    fixture.route(true, "s");
    fixture.server("a", "s");
    WeakReference<Payload> body = submitAndAnswer(fixture);

    long endNanos = System.nanoTime() + PATIENCE.toNanos();
    while (body.get() != null && System.nanoTime() < endNanos) {
      System.gc();
      Thread.sleep(1);
    }
    assertThat(body.get()).isNull();
    assertThat(fixture.outcomes).hasSize(1);
  }

  private static WeakReference<Payload> submitAndAnswer(ForwardFixture fixture) {
    Payload body = Payload.of(new byte[1_000]);
    ForwardHandle unused =
        fixture.coordinator.submit(
            new ForwardedRequest(
                "id",
                Optional.of(Duration.ofHours(1)),
                "POST",
                "host",
                "/path",
                Caller.ANONYMOUS,
                ImmutableList.of(),
                body),
            fixture.outcomes::add);
    fixture.answer(fixture.attempt(0));
    fixture.sent.clear();
    return new WeakReference<>(body);
  }
}
