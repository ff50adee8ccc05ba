package io.arrowarch.emulator.experiment;

/** A measurement on the product's core that gives the same figures for the same seed. */
public interface Experiment {
  /** Runs it and fills the report. */
  Report run(long seed);
}
