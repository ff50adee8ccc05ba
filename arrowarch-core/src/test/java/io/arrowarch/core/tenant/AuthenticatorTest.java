package io.arrowarch.core.tenant;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.tenant.Authenticator.Identity;
import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Callers are identified by their API keys from a view of the tenants that may be out of date: with
 * an old view a revoked key would still be accepted, or a new key rejected as unknown.
 */
public final class AuthenticatorTest {
  private static final Duration BOUND = Duration.ofSeconds(5);
  private static final Duration OLD_AGE = Duration.ofMillis(4_900);
  private static final Credential KEY = Credential.ofKey("key-of-one");
  private static final Credential OTHER = Credential.ofKey("key-of-two");
  private static final Tenant ONE = tenant("one", KEY);
  private static final Tenant TWO = tenant("two", OTHER);
  private static final Tenants BOTH = new Tenants(ImmutableList.of(ONE, TWO));

  private Optional<Duration> age;
  private Authenticator strict;
  private Authenticator lenient;

  @BeforeMethod
  public void create() {
    age = Optional.of(Duration.ofMillis(100));
    strict = new Authenticator(new RevocationRules(true, BOUND), () -> age);
    lenient = new Authenticator(new RevocationRules(false, BOUND), () -> age);
  }

  @Test
  public void aKnownKeyIdentifiesItsTenant() {
    assertThat(identify(strict, BOTH, Optional.of(KEY))).isEqualTo(known(ONE));
    assertThat(identify(strict, BOTH, Optional.of(OTHER))).isEqualTo(known(TWO));
  }

  @Test
  public void aMissingKeyOrOneOfNoTenantIsUnknown() {
    assertThat(identify(strict, BOTH, Optional.empty())).isInstanceOf(Identity.Unknown.class);
    assertThat(identify(strict, BOTH, Optional.of(Credential.ofKey("guess"))))
        .isInstanceOf(Identity.Unknown.class);
  }

  @Test
  public void anOldViewNeitherAcceptsNorRejectsKeys() {
    age = Optional.of(OLD_AGE);
    assertThat(identify(strict, BOTH, Optional.of(KEY))).isInstanceOf(Identity.NotConfirmed.class);
    assertThat(identify(strict, BOTH, Optional.empty())).isInstanceOf(Identity.NotConfirmed.class);
    assertThat(identify(lenient, BOTH, Optional.of(Credential.ofKey("new"))))
        .isInstanceOf(Identity.NotConfirmed.class);
    age = Optional.empty();
    assertThat(identify(strict, BOTH, Optional.of(KEY))).isInstanceOf(Identity.NotConfirmed.class);
  }

  @Test
  public void withLenientRevocationAnOldViewAcceptsKnownKeys() {
    age = Optional.of(Duration.ofMinutes(5));
    assertThat(identify(lenient, BOTH, Optional.of(KEY))).isEqualTo(known(ONE));
    assertThat(lenient.refusesApiKeys(BOTH)).isFalse();
    assertThat(strict.refusesApiKeys(BOTH)).isTrue();
    assertThat(strict.refusesApiKeys(Tenants.NONE)).isFalse();
  }

  @Test
  public void publicRoutesNeedNoKeyAndIdentifyTenantsOnlyFromAFreshView() {
    assertThat(strict.identify(BOTH, true, Optional.empty())).isEqualTo(noTenant());
    assertThat(strict.identify(BOTH, true, Optional.of(Credential.ofKey("guess"))))
        .isEqualTo(noTenant());
    assertThat(strict.identify(BOTH, true, Optional.of(KEY))).isEqualTo(known(ONE));
    age = Optional.of(OLD_AGE);
    assertThat(strict.identify(BOTH, true, Optional.of(KEY))).isEqualTo(noTenant());
  }

  @Test
  public void withoutTenantsNoKeyIsNeeded() {
    age = Optional.empty();
    assertThat(identify(strict, Tenants.NONE, Optional.of(KEY))).isEqualTo(noTenant());
  }

  @Test
  public void aKeyOfTwoTenantsBelongsToTheFirst() {
    Tenants shared = new Tenants(ImmutableList.of(TWO, tenant("three", OTHER)));
    assertThat(identify(strict, shared, Optional.of(OTHER))).isEqualTo(known(TWO));
  }

  @Test
  public void noAttemptRunsWithAKeyThatWasRevokedOrMoved() {
    assertThat(strict.mayRun(BOTH, "one", KEY)).isTrue();
    assertThat(strict.mayRun(new Tenants(ImmutableList.of(TWO)), "one", KEY)).isFalse();
    assertThat(strict.mayRun(Tenants.NONE, "one", KEY)).isFalse();
    assertThat(strict.mayRun(new Tenants(ImmutableList.of(tenant("new", KEY))), "one", KEY))
        .isFalse();
    age = Optional.of(OLD_AGE);
    assertThat(strict.mayRun(BOTH, "one", KEY)).isFalse();
    assertThat(lenient.mayRun(BOTH, "one", KEY)).isTrue();
  }

  @Test
  public void aCredentialDoesNotShowItsKey() {
    assertThat(KEY.toString()).doesNotContain("key").hasSize(8);
    assertThat(KEY.hash()).hasSize(64);
    assertThat(ONE.toString()).doesNotContain("key-of-one");
  }

  private static Identity identify(
      Authenticator authenticator, Tenants tenants, Optional<Credential> credential) {
    return authenticator.identify(tenants, false, credential);
  }

  private static Identity known(Tenant tenant) {
    return new Identity.Known(Optional.of(tenant));
  }

  private static Identity noTenant() {
    return new Identity.Known(Optional.empty());
  }

  private static Tenant tenant(String name, Credential credential) {
    return new Tenant(name, ImmutableSet.of(credential), Optional.empty(), Optional.empty());
  }
}
