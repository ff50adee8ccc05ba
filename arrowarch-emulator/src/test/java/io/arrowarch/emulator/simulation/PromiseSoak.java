package io.arrowarch.emulator.simulation;

import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.ActionChain;

/**
 * {@link PromiseProperties} on a fresh seed and for longer. Not part of the test command: run it by
 * {@code scripts/soak}.
 */
class PromiseSoak {
  @Property(tries = 1_000)
  void promisesHoldUnderFaults(@ForAll("faults") ActionChain<Scenario> chain) {
    PromiseProperties.check(chain);
  }

  @Provide
  Arbitrary<ActionChain<Scenario>> faults() {
    return PromiseProperties.chains();
  }
}
