package io.arrowarch.emulator.experiment;

import com.google.common.collect.ImmutableMap;
import io.arrowarch.emulator.SampleDeployments;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;

/** The experiments by name. */
public final class Experiments {
  private static final int FIRST_PORT = 20_000;

  /** All experiments. */
  public static final ImmutableMap<String, Experiment> ALL =
      ImmutableMap.of(
          "nordeste",
          new TailExperiment(
              "Nordeste, listing-search",
              SampleDeployments.nordeste(ports()),
              "listing-search",
              "storefront"),
          "slovakia",
          new TailExperiment(
              "Western Slovakia, recipe-search",
              SampleDeployments.slovakia(ports()),
              "recipe-search",
              "search-front"),
          "scale",
          new ScaleExperiment());

  private Experiments() {}

  private static IntSupplier ports() {
    return new AtomicInteger(FIRST_PORT)::getAndIncrement;
  }
}
