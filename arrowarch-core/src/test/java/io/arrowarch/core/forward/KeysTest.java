package io.arrowarch.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.tenant.Credential;
import io.arrowarch.core.tenant.Tenant;
import io.arrowarch.core.tenant.TenantLimit;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * API keys and tenant limits while a request is admitted, retried, hedged and delegated. A
 * revocation takes effect within three seconds, so a router whose view is that old refuses requests
 * with keys.
 */
public final class KeysTest {
  private static final long FIRST = 1;
  private static final Duration TOO_OLD = Duration.ofSeconds(3);
  private static final Credential KEY = Credential.ofKey("key");
  private static final Caller HOLDER = Caller.withCredential(Optional.of(KEY));
  private static final Tenant HOLDERS_TENANT = tenant("t-1", KEY, Optional.empty());
  private static final Tenant OTHER_TENANT =
      tenant("t-2", Credential.ofKey("another"), Optional.empty());

  private ForwardFixture router;

  @BeforeMethod
  public void create() {
    router = new ForwardFixture();
    router.tenants = ImmutableList.of(HOLDERS_TENANT);
    router.caller = HOLDER;
  }

  @Test
  public void serversAreToldTheTenantInEveryAttempt() {
    serve("s");
    router.submit();
    router.fail(router.last(), ServerFailure.UNREACHABLE);

    assertThat(router.sent).hasSize(2);
    assertThat(router.sent)
        .extracting(attempt -> attempt.request().caller().tenant())
        .containsOnly(Optional.of("t-1"));
  }

  @Test
  public void requestsWithoutAValidKeyAreRefusedWithoutRetryAfter() {
    serve("s");
    router.caller = Caller.ANONYMOUS;
    router.submit();
    router.caller = Caller.withCredential(Optional.of(Credential.ofKey("guess")));
    router.submit();

    assertThat(router.error(0).kind()).isEqualTo(ErrorKind.UNAUTHENTICATED);
    assertThat(router.error(0).retryAfter()).isEmpty();
    assertThat(router.error(1).kind()).isEqualTo(ErrorKind.UNAUTHENTICATED);
    assertThat(router.sent).isEmpty();
  }

  @Test
  public void routerWithAnOldViewRefusesWithoutRunning() {
    serve("s");
    router.viewAge = Optional.of(TOO_OLD);
    router.submit();

    assertThat(router.error(0).kind()).isEqualTo(ErrorKind.NOT_CONFIRMED);
    assertThat(router.error(0).executed()).isEqualTo(Executed.NO);
    assertThat(router.error(0).retryAfter()).isPresent();
    assertThat(router.sent).isEmpty();
    assertThat(router.coordinator.refusesApiKeys()).isTrue();
  }

  @Test
  public void publicRoutesAreServedWithAnOldViewAndWithoutATenant() {
    router.isPublic = true;
    serve("s");
    router.viewAge = Optional.empty();
    router.submit();

    assertThat(router.last().request().caller().tenant()).isEmpty();
  }

  @Test
  public void tenantStatedByTheCallerIsIgnored() {
    router.tenants = ImmutableList.of();
    serve("s");
    router.caller = new Caller(Optional.empty(), Optional.of("t-1"), false);
    router.submit();

    assertThat(router.last().request().caller().tenant()).isEmpty();
  }

  @Test
  public void noSecondAttemptIsSentOnceTheViewIsOld() {
    serve("s");
    router.submit();
    router.viewAge = Optional.of(TOO_OLD);
    router.fail(router.last(), ServerFailure.UNREACHABLE);

    assertThat(router.sent).hasSize(1);
    assertThat(router.error(0).executed()).isEqualTo(Executed.NO);
  }

  @Test
  public void noHedgeIsSentOnceTheKeyIsRevoked() {
    serve("s1", "s2", "s3", "s4");
    router.submit();
    int first = router.sent.size();
    for (int i = 0; i < first - 1; i++) {
      router.answer(router.attempt(i));
    }
    router.tenants = ImmutableList.of(OTHER_TENANT);
    router.route(2, true, "s1", "s2", "s3", "s4");
    router.advanceInSteps(ForwardFixture.OBJECTIVE);

    assertThat(router.sent).hasSize(first);
    assertThat(router.merged(0).missingParts()).isEqualTo(1);
  }

  @Test
  public void lastKeyOfATenantMayBeRevoked() {
    serve("s");
    router.tenants =
        ImmutableList.of(new Tenant("t-1", ImmutableSet.of(), Optional.empty(), Optional.empty()));
    router.route(2, true, "s");
    router.submit();

    assertThat(router.error(0).kind()).isEqualTo(ErrorKind.UNAUTHENTICATED);
  }

  @Test
  public void delegatedSearchCarriesTheTenantAndTheKeyHash() {
    RouterPair pair = pair();
    pair.near.submit();

    assertThat(pair.underWay.get(FIRST).request().caller())
        .isEqualTo(new Caller(Optional.of(KEY), Optional.of("t-1"), false));
    pair.deliver(FIRST);
    assertThat(pair.far.sent).isNotEmpty();
    assertThat(pair.far.sent)
        .extracting(attempt -> attempt.request().caller().tenant())
        .containsOnly(Optional.of("t-1"));
  }

  @Test
  public void gathererWithAnOldOrDifferentViewDeclines() {
    RouterPair pair = pair();
    pair.far.viewAge = Optional.of(TOO_OLD);
    pair.near.submit();
    pair.deliver(FIRST);
    assertThat(pair.replies.get(FIRST)).isInstanceOf(DelegateReply.Declined.class);

    pair.far.viewAge = Optional.of(Duration.ZERO);
    pair.far.tenants = ImmutableList.of(tenant("moved", KEY, Optional.empty()));
    pair.routeFar(2);
    pair.near.submit();
    pair.deliver(FIRST + 1);
    assertThat(pair.replies.get(FIRST + 1)).isInstanceOf(DelegateReply.Declined.class);
    assertThat(pair.far.sent).isEmpty();
  }

  @Test
  public void requestsRefusedForOtherReasonsDoNotCountAgainstTheLimit() {
    router.tenants = ImmutableList.of(tenant("t-1", KEY, Optional.of(new TenantLimit(1, 2))));
    router.route(true, "s");
    for (int i = 0; i < 40; i++) {
      router.submit();
      assertThat(router.error(i).kind()).isEqualTo(ErrorKind.NOTHING_SELECTED);
    }
  }

  @Test
  public void requestsBeyondTheLimitAreRefusedWithRetryAfter() {
    router.tenants = ImmutableList.of(tenant("t-1", KEY, Optional.of(new TenantLimit(1, 2))));
    serve("s");
    for (int i = 0; i < 40; i++) {
      router.submit();
      router.advance(Duration.ofMillis(5));
    }
    long refused = router.outcomes.stream().filter(Either::isLeft).count();

    // Three requests pass: the burst of two and one second at one request per second.
    assertThat(router.sent).extracting(attempt -> attempt.request().id()).contains("request-3");
    assertThat(router.sent)
        .extracting(attempt -> attempt.request().id())
        .doesNotContain("request-4");
    assertThat(refused).isEqualTo(37);
    assertThat(router.outcomes.get(0).getLeft().kind()).isEqualTo(ErrorKind.LIMIT_EXCEEDED);
    assertThat(router.outcomes.get(0).getLeft().retryAfter()).isPresent();
  }

  /** Each request that waited was refused inside the refusal of the one before it. */
  @Test
  public void requestsThatWaitWhenTheirKeyIsRevokedAreRefusedInTheOrderOfTheirArrival() {
    serve("s");
    int connections = 2 * router.coordinator.connectionShare("s");
    for (int number = 0; number < connections; number++) {
      router.submit();
    }
    List<String> refused = new ArrayList<>();
    for (String id : List.of("first", "second", "third")) {
      router.submit(id, "/path", ForwardFixture.TIMEOUT, outcome -> refused.add(id));
    }
    router.tenants = ImmutableList.of(OTHER_TENANT);
    router.route(2, true, "s");
    router.answer(router.attempt(0));

    assertThat(router.sent).hasSize(connections);
    assertThat(refused).containsExactly("first", "second", "third");
  }

  private RouterPair pair() {
    RouterPair pair = new RouterPair();
    for (ForwardFixture each : ImmutableList.of(pair.near, pair.far)) {
      each.tenants = ImmutableList.of(HOLDERS_TENANT);
    }
    pair.near.caller = HOLDER;
    pair.route(2);
    return pair;
  }

  private void serve(String... services) {
    router.route(true, services);
    for (String service : services) {
      router.server(service + "-a", service);
      router.server(service + "-b", service);
    }
  }

  private static Tenant tenant(String name, Credential credential, Optional<TenantLimit> limit) {
    return new Tenant(name, ImmutableSet.of(credential), Optional.empty(), limit);
  }
}
