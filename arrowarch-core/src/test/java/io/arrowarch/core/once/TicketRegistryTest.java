package io.arrowarch.core.once;

import static org.assertj.core.api.Assertions.assertThat;

import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.error.QueryError;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/**
 * A non-repeatable request must not run twice: not for a duplicate, not for a ticket of another
 * incarnation, and not after the record of its ticket was dropped.
 */
public class TicketRegistryTest {
  private final TicketRegistry<String> registry = new TicketRegistry<>("n1", 7);
  private final List<String> deliveredOutcomes = new ArrayList<>();

  @Test
  public void duplicateGetsTheOutcomeOfTheFirst() {
    Ticket ticket = registry.issue();
    TicketRegistry.Redemption<String> first = redeem(registry, ticket, "f").get().orElseThrow();
    assertThat(redeem(registry, ticket, "f").get()).isEmpty();
    registry.complete(first, "done", Executed.YES);
    assertThat(redeem(registry, ticket, "f").get()).isEmpty();
    assertThat(deliveredOutcomes).containsExactly("done", "done");
  }

  @Test
  public void ticketOfARequestThatDidNotRunCanBeUsedAgain() {
    Ticket ticket = registry.issue();
    registry.complete(redeem(registry, ticket, "f").get().orElseThrow(), "no", Executed.NO);
    assertThat(redeem(registry, ticket, "f").get()).isPresent();
  }

  @Test
  public void ticketOfAnUncertainRequestCannotBeUsedAgain() {
    Ticket ticket = registry.issue();
    registry.complete(redeem(registry, ticket, "f").get().orElseThrow(), "?", Executed.UNKNOWN);
    assertThat(redeem(registry, ticket, "f").get()).isEmpty();
  }

  @Test
  public void ticketIsRedeemableOnlyAtItsIncarnation() {
    Ticket ticket = registry.issue();
    assertThat(kind(redeem(new TicketRegistry<>("n1", 8), ticket, "f")))
        .isEqualTo(ErrorKind.TICKET_ELSEWHERE);
    assertThat(kind(redeem(new TicketRegistry<>("n2", 7), ticket, "f")))
        .isEqualTo(ErrorKind.TICKET_ELSEWHERE);
  }

  @Test
  public void ticketServesOneRequestOnly() {
    Ticket ticket = registry.issue();
    redeem(registry, ticket, "f");
    assertThat(kind(redeem(registry, ticket, "g"))).isEqualTo(ErrorKind.TICKET_MISMATCH);
  }

  @Test
  public void ticketThatWasNeverIssuedIsRefused() {
    assertThat(kind(redeem(registry, new Ticket("n1", 7, Long.MAX_VALUE / 100), "f")))
        .isEqualTo(ErrorKind.MALFORMED_REQUEST);
  }

  @Test
  public void ticketWhoseRecordWasDroppedIsRefused() {
    Ticket oldest = registry.issue();
    redeem(registry, oldest, "f");
    for (int i = 0; i < TicketRegistry.MAXIMUM_RECORDS; i++) {
      redeem(registry, registry.issue(), "f");
    }
    assertThat(kind(redeem(registry, oldest, "f"))).isEqualTo(ErrorKind.TICKET_EXPIRED);
  }

  @Test
  public void textFormRoundTrips() {
    Ticket ticket = registry.issue();
    assertThat(Ticket.parse(ticket.toString())).contains(ticket);
    assertThat(Ticket.parse("n1~x~1")).isEmpty();
  }

  private Either<QueryError, Optional<TicketRegistry.Redemption<String>>> redeem(
      TicketRegistry<String> target, Ticket ticket, String fingerprint) {
    return target.redeem(ticket, fingerprint, deliveredOutcomes::add);
  }

  private static ErrorKind kind(Either<QueryError, ?> redemption) {
    return redemption.getLeft().kind();
  }
}
