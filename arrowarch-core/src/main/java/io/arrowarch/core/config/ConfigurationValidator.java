package io.arrowarch.core.config;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.config.ConfigurationDocument.BackendSpec;
import io.arrowarch.core.config.ConfigurationDocument.HoldingSpec;
import io.arrowarch.core.config.ConfigurationDocument.KindSpec;
import io.arrowarch.core.config.ConfigurationDocument.LayoutSpec;
import io.arrowarch.core.config.ConfigurationDocument.RuleSpec;
import io.arrowarch.core.config.ConfigurationDocument.ShardSpec;
import io.arrowarch.core.config.ConfigurationDocument.ZoneSpec;
import io.arrowarch.core.selector.DayWindow;
import io.arrowarch.core.selector.LabelSelector;
import io.arrowarch.core.time.Durations;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;

/** Checks what the schema cannot express: names, addresses, shares, selectors, windows. */
final class ConfigurationValidator {
  /** Operators write shares as decimal fractions, whose sum may differ from 1 by rounding. */
  private static final double SHARE_TOLERANCE = 1e-6;

  private static final Duration MAXIMUM_DEADLINE = Duration.ofMinutes(1);
  private static final int MAXIMUM_PORT = 65_535;
  private static final int MAXIMUM_OCTET = 255;

  private final ConfigurationDocument document;
  private final ImmutableList.Builder<ConfigurationFault> faults = ImmutableList.builder();
  private final Set<String> zoneNames = new HashSet<>();
  private final Map<String, LayoutSpec> layouts = new HashMap<>();

  private ConfigurationValidator(ConfigurationDocument document) {
    this.document = document;
  }

  /** All faults of a document: those of zones, then layouts, back ends and kinds. */
  static ImmutableList<ConfigurationFault> validate(ConfigurationDocument document) {
    ConfigurationValidator validator = new ConfigurationValidator(document);
    validator.checkZones();
    validator.checkLayouts();
    validator.checkBackends();
    validator.checkKinds();
    return validator.faults.build();
  }

  private void checkZones() {
    checkUnique("$.zones", document.zones(), ZoneSpec::name, "zone");
    Set<String> voters = new HashSet<>();
    for (int i = 0; i < document.zones().size(); i++) {
      ZoneSpec zone = document.zones().get(i);
      zoneNames.add(zone.name());
      for (int j = 0; j < zone.voters().size(); j++) {
        if (!voters.add(zone.voters().get(j))) {
          fault("$.zones[" + i + "].voters[" + j + "]", "voter is listed more than once");
        }
      }
    }
    if (voters.isEmpty()) {
      fault("$.zones", "no zone has a voter");
    }
  }

  private void checkLayouts() {
    checkUnique("$.layouts", document.layouts(), LayoutSpec::name, "layout");
    for (int i = 0; i < document.layouts().size(); i++) {
      LayoutSpec layout = document.layouts().get(i);
      String path = "$.layouts[" + i + "].shards";
      layouts.put(layout.name(), layout);
      checkUnique(path, layout.shards(), ShardSpec::name, "shard");
      double sum = layout.shards().stream().mapToDouble(ShardSpec::share).sum();
      if (Math.abs(sum - 1.0) > SHARE_TOLERANCE) {
        fault(path, "shares add up to " + sum + " instead of 1");
      }
    }
  }

  private void checkBackends() {
    checkUnique("$.backends", document.backends(), BackendSpec::id, "back end");
    checkUnique("$.backends", document.backends(), BackendSpec::address, "address");
    for (int i = 0; i < document.backends().size(); i++) {
      BackendSpec backend = document.backends().get(i);
      String path = "$.backends[" + i + "]";
      if (!zoneNames.contains(backend.zone())) {
        fault(path + ".zone", "no zone is named '" + backend.zone() + "'");
      }
      if (!isSocketAddress(backend.address())) {
        fault(path + ".address", "'" + backend.address() + "' is not an IP number and port");
      }
      checkHoldings(path, backend);
    }
  }

  private void checkHoldings(String path, BackendSpec backend) {
    checkUnique(path + ".holds", backend.holds(), HoldingSpec::layout, "layout");
    for (int i = 0; i < backend.holds().size(); i++) {
      HoldingSpec holding = backend.holds().get(i);
      LayoutSpec layout = layouts.get(holding.layout());
      if (layout == null) {
        fault(path + ".holds[" + i + "].layout", "no layout is named '" + holding.layout() + "'");
      } else if (layout.shards().stream().noneMatch(s -> s.name().equals(holding.shard()))) {
        fault(
            path + ".holds[" + i + "].shard",
            "layout '" + holding.layout() + "' has no shard '" + holding.shard() + "'");
      }
    }
  }

  private void checkKinds() {
    checkUnique("$.kinds", document.kinds(), KindSpec::name, "kind");
    for (int i = 0; i < document.kinds().size(); i++) {
      KindSpec kind = document.kinds().get(i);
      String path = "$.kinds[" + i + "]";
      if (!layouts.containsKey(kind.layout())) {
        fault(path + ".layout", "no layout is named '" + kind.layout() + "'");
      }
      Duration deadline = Durations.parse(kind.deadline());
      if (deadline.isZero() || deadline.compareTo(MAXIMUM_DEADLINE) > 0) {
        fault(path + ".deadline", "must be more than 0 and at most " + MAXIMUM_DEADLINE);
      }
      if (!kind.repeatable() && kind.hedgeBudget() > 0) {
        fault(path + ".hedgeBudget", "must be 0 for a kind that is not repeatable");
      }
      if (!kind.repeatable() && kind.operation() == Operation.SEARCH) {
        fault(path + ".repeatable", "must be true for a search, which is sent to many shards");
      }
      for (int j = 0; j < kind.rules().size(); j++) {
        checkRule(path + ".rules[" + j + "]", kind, kind.rules().get(j));
      }
    }
  }

  private void checkRule(String path, KindSpec kind, RuleSpec rule) {
    List<String> routerZones = rule.routerZones().orElse(ImmutableList.of());
    for (int i = 0; i < routerZones.size(); i++) {
      if (!zoneNames.contains(routerZones.get(i))) {
        fault(path + ".routerZones[" + i + "]", "no zone is named '" + routerZones.get(i) + "'");
      }
    }
    try {
      LabelSelector selector = LabelSelector.parse(rule.select());
      boolean selectsAny =
          document.backends().stream()
              .filter(b -> b.holds().stream().anyMatch(h -> h.layout().equals(kind.layout())))
              .anyMatch(b -> selector.matches(b.labels()));
      if (!selectsAny) {
        fault(path + ".select", "selects no back end that holds layout '" + kind.layout() + "'");
      }
    } catch (IllegalArgumentException e) {
      fault(path + ".select", Objects.toString(e.getMessage()));
    }
    try {
      rule.window().ifPresent(DayWindow::parse);
    } catch (IllegalArgumentException e) {
      fault(path + ".window", Objects.toString(e.getMessage()));
    }
  }

  private <T> void checkUnique(
      String path, List<T> items, Function<T, String> nameOf, String what) {
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < items.size(); i++) {
      String name = nameOf.apply(items.get(i));
      if (!seen.add(name)) {
        fault(path + "[" + i + "]", what + " '" + name + "' is listed more than once");
      }
    }
  }

  /** Parses numbers without a check, because the schema admits only digits, dots and a port. */
  private static boolean isSocketAddress(String address) {
    int colon = address.indexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    String[] octets = address.substring(0, colon).split("\\.", -1);
    if (octets.length != 4 || port < 1 || port > MAXIMUM_PORT) {
      return false;
    }
    for (String octet : octets) {
      if (octet.isEmpty() || octet.length() > 3 || Integer.parseInt(octet) > MAXIMUM_OCTET) {
        return false;
      }
    }
    return true;
  }

  private void fault(String path, String message) {
    faults.add(new ConfigurationFault(path, message));
  }
}
