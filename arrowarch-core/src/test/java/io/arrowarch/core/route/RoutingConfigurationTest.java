package io.arrowarch.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.Test;

/** The choice of a route by host and path prefix. */
public final class RoutingConfigurationTest {
  private static final RoutingConfiguration CONFIGURATION =
      new RoutingConfiguration(
          1,
          ImmutableList.of(
              route("short", "a.example", "/x/"),
              route("long", "a.example", "/x/y/"),
              route("other-host", "b.example", "/x/y/z/")),
          ImmutableMap.of(),
          CallerLimits.DEFAULT);

  @Test
  public void theLongestPrefixOfTheHostWins() {
    assertThat(match("a.example", "/x/y/z/1")).contains("long");
    assertThat(match("a.example", "/x/q")).contains("short");
    assertThat(match("b.example", "/x/y/z/1")).contains("other-host");
  }

  @Test
  public void caseAndPortOfTheHostDoNotMatter() {
    assertThat(match("A.Example:8080", "/x/")).contains("short");
  }

  @Test
  public void theQueryIsNotMatched() {
    assertThat(match("a.example", "/x?/x/y/")).isEmpty();
    assertThat(match("a.example", "/x/?a=/x/y/")).contains("short");
  }

  @Test
  public void nothingElseMatches() {
    assertThat(match("a.example", "/x")).isEmpty();
    assertThat(match("c.example", "/x/")).isEmpty();
    assertThat(match("a.example", "/X/")).isEmpty();
  }

  private static Optional<String> match(String host, String path) {
    return CONFIGURATION.match(host, path).map(Route::name);
  }

  private static Route route(String name, String host, String prefix) {
    return new Route(
        name,
        host,
        prefix,
        true,
        Duration.ofSeconds(1),
        Duration.ofSeconds(1),
        2,
        0,
        false,
        ImmutableSet.of(),
        new RouteTarget.OneServer(ImmutableList.of(new RouteTarget.WeightedService("service", 1))));
  }
}
