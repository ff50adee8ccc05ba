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
 * Holds non-repeatable requests to at most one execution.
 *
 * <p>A ticket is redeemable only at the incarnation that issued it, so that no agreement between
 * nodes is needed: a resend that arrives anywhere else is never run. Within the incarnation the
 * first request with a ticket runs; a resend gets the same outcome. The ticket of a request that is
 * proven not to have run can be used again.
 *
 * @param <O> the outcome type
 */
public final class TicketRegistry<O> {
  /** Records kept; tickets numbered below the oldest dropped one are refused as expired. */
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

  /** A fresh ticket. */
  public Ticket issue() {
    return new Ticket(nodeId, incarnation, nextNumber++);
  }

  /**
   * Redeems a ticket.
   *
   * @param fingerprint identifies the request, so that a ticket cannot serve two different ones
   * @param onOutcome told the outcome of the earlier request when this is a resend
   * @return the redemption to complete when the caller must run the request; empty when it is a
   *     resend; an error when the ticket cannot be redeemed here
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
              + " and is redeemable there alone");
    }
    if (ticket.number() >= nextNumber) {
      return refuse(ErrorKind.MALFORMED_REQUEST, "this node never issued the ticket");
    }
    if (ticket.number() < lowestRedeemable) {
      return refuse(ErrorKind.TICKET_EXPIRED, "the record of this ticket is gone");
    }
    Redemption<O> earlier = redemptions.get(ticket.number());
    if (earlier == null) {
      return Either.right(Optional.of(begin(ticket.number(), fingerprint)));
    }
    if (!earlier.fingerprint.equals(fingerprint)) {
      return refuse(ErrorKind.TICKET_MISMATCH, "the ticket was redeemed with another request");
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
    private final List<Consumer<O>> resends = new ArrayList<>();
    private Optional<O> outcome = Optional.empty();

    private Redemption(long number, String fingerprint) {
      this.number = number;
      this.fingerprint = fingerprint;
    }

    private void onOutcome(Consumer<O> consumer) {
      if (outcome.isPresent()) {
        consumer.accept(outcome.get());
      } else {
        resends.add(consumer);
      }
    }
  }

  /**
   * Records the outcome of a request that the caller ran, and tells every resend.
   *
   * @param executed {@link Executed#NO} frees the ticket for another try
   */
  public void complete(Redemption<O> redemption, O outcome, Executed executed) {
    redemption.outcome = Optional.of(outcome);
    if (executed == Executed.NO) {
      redemptions.remove(redemption.number);
    }
    redemption.resends.forEach(resend -> resend.accept(outcome));
    redemption.resends.clear();
  }
}
