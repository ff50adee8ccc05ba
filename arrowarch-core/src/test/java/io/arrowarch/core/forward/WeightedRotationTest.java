package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.route.RouteTarget.WeightedService;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.Test;

/** Every service gets a share of requests proportional to its weight. */
public final class WeightedRotationTest {
  private static final ImmutableList<WeightedService> SERVICES =
      ImmutableList.of(
          new WeightedService("a", 70), new WeightedService("b", 25), new WeightedService("c", 5));

  @Test
  public void everyRunOfFortyIsWithinOneOfTheWeights() {
    WeightedRotation rotation = new WeightedRotation(SERVICES, new Random(1));
    for (int run = 0; run < 50; run++) {
      Map<String, Integer> counts = new HashMap<>();
      for (int i = 0; i < 40; i++) {
        counts.merge(rotation.next(), 1, Integer::sum);
      }
      assertThat((double) counts.get("a")).isCloseTo(28, within(1.0));
      assertThat((double) counts.get("b")).isCloseTo(10, within(1.0));
      assertThat((double) counts.get("c")).isCloseTo(2, within(1.0));
    }
  }

  @Test
  public void weightZeroGetsNothing() {
    WeightedRotation rotation =
        new WeightedRotation(
            ImmutableList.of(new WeightedService("off", 0), new WeightedService("on", 1)),
            new Random(1));
    for (int i = 0; i < 100; i++) {
      assertThat(rotation.next()).isEqualTo("on");
    }
  }
}
