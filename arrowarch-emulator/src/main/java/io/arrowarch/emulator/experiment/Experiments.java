package io.arrowarch.emulator.experiment;

import com.google.common.collect.ImmutableMap;
import io.arrowarch.emulator.SampleDeployments;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** The experiments by name. */
public final class Experiments {
  private static final int FIRST_PORT = 20_000;

  /** All experiments. */
  public static final ImmutableMap<String, Experiment> ALL =
      ImmutableMap.of(
          "nordeste",
          new TailExperiment(
              "Nordeste, listing-search",
              SampleDeployments.nordeste(addresses()),
              "listing-search",
              "storefront"),
          "slovakia",
          new TailExperiment(
              "Western Slovakia, recipe-search",
              SampleDeployments.slovakia(addresses()),
              "recipe-search",
              "search-front"),
          "scale",
          new ScaleExperiment());

  private Experiments() {}

  private static Supplier<String> addresses() {
    AtomicInteger port = new AtomicInteger(FIRST_PORT);
    return () -> "127.0.0.2:" + port.getAndIncrement();
  }
}
