package io.arrowarch.emulator.simulation;

import java.time.Duration;
import org.testng.annotations.Test;

/** Failures that {@link PromiseProperties} found, each as the shortest sequence that shows it. */
public class RecoveryTest {
  private static final int SEED = 1;

  /** A voter's reply to the earlier incarnation told the new one that it was superseded. */
  @Test
  public void replyToEarlierIncarnationIsIgnored() {
    Scenario scenario = new Scenario(SEED);
    scenario.advance(Duration.ofSeconds(6));
    scenario.isolateZone("west", false);
    scenario.advance(Duration.ofSeconds(6));
    scenario.restartRouter("t1");
    scenario.recoverAndCheck();
  }

  /** Before its first configuration a router did not know that a kind is not repeatable. */
  @Test
  public void purchaseAtRouterWithoutConfigurationRunsOnce() {
    Scenario scenario = new Scenario(SEED);
    scenario.restartRouter("w3");
    scenario.purchaseTwice("w3", "w3", Duration.ofMillis(4));
    scenario.recoverAndCheck();
  }
}
