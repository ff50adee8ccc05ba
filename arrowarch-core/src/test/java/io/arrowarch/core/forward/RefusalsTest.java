package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.event.RouterEvent;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.Test;

/** The log event of a request that was refused before it ran. */
public final class RefusalsTest {
  private static final ForwardedRequest REQUEST =
      new ForwardedRequest(
          "id",
          Optional.empty(),
          "GET",
          "shop.example",
          "/nowhere/",
          Caller.ANONYMOUS,
          ImmutableList.of(),
          Payload.EMPTY);

  private final List<RouterEvent> events = new ArrayList<>();

  private RouterEvent.RequestEnded refuseBy(Optional<Duration> viewAge) {
    events.clear();
    Refusals refusals = new Refusals(() -> 7, () -> viewAge, new Random(1), events::add);
    ForwardHandle unused =
        refusals.refuse(REQUEST, ErrorKind.UNKNOWN_PATH, "no route", answer -> {});
    return (RouterEvent.RequestEnded) events.get(0);
  }

  @Test
  public void refusalLogsConfigurationVersionAndViewAge() {
    RouterEvent.RequestEnded told = refuseBy(Optional.of(Duration.ofMillis(812)));

    assertThat(told.version()).isEqualTo(7);
    assertThat(told.viewAgeMs()).isEqualTo(812);
  }

  @Test
  public void unknownViewAgeIsLoggedAsNegative() {
    assertThat(refuseBy(Optional.empty()).viewAgeMs()).isNegative();
  }
}
