package io.arrowarch.core.forward;

import io.arrowarch.core.intake.NewWork;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Queue;

/** Sends the first attempts of the parts of one request, one in each step. */
final class FirstAttempts implements NewWork.Item {
  private final ForwardExecution execution;
  private final Hedging hedging;
  private final Queue<PartProgress> unsent;

  /**
   * Creates the work.
   *
   * @param hedging started when all are sent
   */
  FirstAttempts(ForwardExecution execution, Hedging hedging, Collection<PartProgress> parts) {
    this.execution = execution;
    this.hedging = hedging;
    this.unsent = new ArrayDeque<>(parts);
  }

  @Override
  public void runNext() {
    PartProgress part = unsent.remove();
    execution.startFirstAttempt(part);
    if (isDone() && !execution.isFinished()) {
      hedging.start();
    }
  }

  @Override
  public boolean isDone() {
    return unsent.isEmpty() || execution.isFinished();
  }
}
