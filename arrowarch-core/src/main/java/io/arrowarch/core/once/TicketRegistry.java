package io.arrowarch.core.once;

import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.error.QueryError;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Ensures that a non-repeatable request is executed at most once.
 *
 * <p>A ticket can be redeemed only at the incarnation that issued it: a duplicate that arrives
 * anywhere else is never run, so that nodes need no agreement. Within the incarnation, the first
 * request with a ticket runs and a duplicate gets the same outcome. The ticket of a request that is
 * proven not to have run can be used again.
 *
 * @param <O> the outcome type
 */
public final class TicketRegistry<O> {
  /**
   * Number of redemptions kept. Beyond it the oldest is dropped, and its ticket and all with lower
   * numbers are refused as expired.
   */
  static final int MAXIMUM_RECORDS = 100_000;

  private final String nodeId;
  private final long incarnation;
  private final Map<Long, Redemption<O>> redemptions = new LinkedHashMap<>();
  private long nextNumber = 1;
  private long lowestRedeemable = 1;

  /** Creates the registry of one incarnation. */
  public TicketRegistry(String nodeId, long incarnation) {
    this.nodeId = nodeId;
    this.incarnation = incarnation;
  }

  /** Issues a new ticket. */
  public Ticket issue() {
    return new Ticket(nodeId, incarnation, nextNumber++);
  }

  /**
   * Redeems a ticket.
   *
   * @param fingerprint identifies the request, so that a ticket cannot be used for two different
   *     ones
   * @param onOutcome receives the outcome of the earlier request when this one is a duplicate
   * @return the redemption to complete, when the caller must run the request; empty when it is a
   *     duplicate; an error when the ticket cannot be redeemed here
   */
  public Either<QueryError, Optional<Redemption<O>>> redeem(
      Ticket ticket, String fingerprint, Consumer<O> onOutcome) {
    if (!ticket.nodeId().equals(nodeId) || ticket.incarnation() != incarnation) {
      return refuse(
          ErrorKind.TICKET_ELSEWHERE,
          "the ticket was issued by incarnation "
              + ticket.incarnation()
              + " of node "
              + ticket.nodeId()
              + " and can be redeemed only there");
    }
    if (ticket.number() >= nextNumber) {
      return refuse(ErrorKind.MALFORMED_REQUEST, "this node has not issued the ticket");
    }
    if (ticket.number() < lowestRedeemable) {
      return refuse(
          ErrorKind.TICKET_EXPIRED,
          "the ticket has expired: the record of its use is no longer kept");
    }
    Redemption<O> earlier = redemptions.get(ticket.number());
    if (earlier == null) {
      return Either.right(Optional.of(begin(ticket.number(), fingerprint)));
    }
    if (!earlier.fingerprint.equals(fingerprint)) {
      return refuse(
          ErrorKind.TICKET_MISMATCH, "the ticket has already been redeemed with another request");
    }
    earlier.onOutcome(onOutcome);
    return Either.right(Optional.empty());
  }

  private Redemption<O> begin(long number, String fingerprint) {
    if (redemptions.size() >= MAXIMUM_RECORDS) {
      dropOldest();
    }
    Redemption<O> redemption = new Redemption<>(number, fingerprint);
    redemptions.put(number, redemption);
    return redemption;
  }

  private void dropOldest() {
    long oldest = redemptions.keySet().iterator().next();
    redemptions.remove(oldest);
    lowestRedeemable = Math.max(lowestRedeemable, oldest + 1);
    redemptions.keySet().removeIf(number -> number < lowestRedeemable);
  }

  private static <T> Either<QueryError, T> refuse(ErrorKind kind, String detail) {
    return Either.left(QueryError.of(kind, detail));
  }

  /** One use of a ticket. */
  public static final class Redemption<O> {
    private final long number;
    private final String fingerprint;
    private final List<Consumer<O>> outcomeListeners = new ArrayList<>();
    private Optional<O> outcome = Optional.empty();

    private Redemption(long number, String fingerprint) {
      this.number = number;
      this.fingerprint = fingerprint;
    }

    private void onOutcome(Consumer<O> consumer) {
      if (outcome.isPresent()) {
        consumer.accept(outcome.get());
      } else {
        outcomeListeners.add(consumer);
      }
    }
  }

  /**
   * Records the outcome of a request that the caller ran, and passes it to every duplicate.
   *
   * @param executed {@link Executed#NO} lets the ticket be used again
   */
  public void complete(Redemption<O> redemption, O outcome, Executed executed) {
    redemption.outcome = Optional.of(outcome);
    if (executed == Executed.NO) {
      redemptions.remove(redemption.number);
    }
    redemption.outcomeListeners.forEach(listener -> listener.accept(outcome));
    redemption.outcomeListeners.clear();
  }
}
