package io.arrowarch.core.forward;

import io.arrowarch.core.route.Route;
import java.util.Locale;

/** What follows an attempt that returned no usable answer. */
enum AfterFailure {
  /** Another attempt of the part is open. */
  WAIT,
  /** The part is sent once more. */
  RETRY,
  /** The request may have run, and its route does not allow it to run twice. */
  NOT_REPEATABLE,
  /** The part may have run on as many servers as the route allows. */
  NO_ATTEMPT_LEFT,
  /**
   * Servers have refused the part so often that another attempt is unlikely to succeed: at least
   * two more attempts were sent than the route allows runs.
   */
  TRIED_OFTEN_ENOUGH,
  /** Every server that may take it has been tried. */
  NO_OTHER_SERVER,
  /** The budget of extra attempts is used up. */
  NO_BUDGET;

  /**
   * A part that may already have run as often as its route allows is sent again only while fewer
   * than this many attempts have been sent for each allowed run.
   */
  private static final int MAXIMUM_ATTEMPTS_PER_SERVER = 2;

  /** Decides for a part whose attempt has ended; a retry is charged to the budget. */
  static AfterFailure of(
      PartProgress part,
      boolean mayHaveRun,
      Route route,
      SelectionCriteria selectionCriteria,
      AttemptSender sender,
      long nowNanos) {
    if (!part.open().isEmpty()) {
      return WAIT;
    }
    if (mayHaveRun && !route.repeatable()) {
      return NOT_REPEATABLE;
    }
    if (part.possibleRuns() >= route.maximumAttempts()) {
      return retryLostAnswer(part, route, selectionCriteria, sender, nowNanos);
    }
    if (part.sent() > route.maximumAttempts() + 1) {
      return TRIED_OFTEN_ENOUGH;
    }
    if (sender.choose(part, selectionCriteria).isEmpty()) {
      return NO_OTHER_SERVER;
    }
    return sender.budgets().tryRetry(part.service(), nowNanos) ? RETRY : NO_BUDGET;
  }

  /** No further server may run the part, but one whose answer was lost may run it again. */
  private static AfterFailure retryLostAnswer(
      PartProgress part,
      Route route,
      SelectionCriteria selectionCriteria,
      AttemptSender sender,
      long nowNanos) {
    boolean exhausted = part.sent() >= MAXIMUM_ATTEMPTS_PER_SERVER * route.maximumAttempts();
    if (exhausted || sender.chooseAmongLostAnswers(part, selectionCriteria).isEmpty()) {
      return NO_ATTEMPT_LEFT;
    }
    return sender.budgets().tryRetry(part.service(), nowNanos) ? RETRY : NO_BUDGET;
  }

  /** The name in logs: lower case, with blanks. */
  String logName() {
    return name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
