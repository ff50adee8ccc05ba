package io.arrowarch.core.topology;

import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.config.ConfigurationDocument.RuleSpec;
import io.arrowarch.core.selector.DayWindow;
import io.arrowarch.core.selector.LabelRequirement;
import io.arrowarch.core.selector.LabelSelector;
import java.time.Instant;
import java.util.Optional;

/**
 * A rule that selects back ends which may serve a kind.
 *
 * @param routerZones zones of the routers to which the rule applies; empty means all
 */
public record SelectionRule(
    LabelSelector selector, ImmutableSet<String> routerZones, Optional<DayWindow> window) {
  /** Converts a rule of a valid document. */
  public static SelectionRule of(RuleSpec spec) {
    return new SelectionRule(
        LabelSelector.parse(spec.select()),
        spec.routerZones().map(ImmutableSet::copyOf).orElse(ImmutableSet.of()),
        spec.window().map(DayWindow::parse));
  }

  /** Why the rule does not select the back end; empty when it does. */
  Optional<String> exclusionReason(Backend backend, String routerZone, Instant wallTime) {
    if (!routerZones.isEmpty() && !routerZones.contains(routerZone)) {
      return Optional.of("rule does not apply to routers in zone " + routerZone);
    }
    if (window.isPresent() && !window.get().contains(wallTime)) {
      return Optional.of("window " + window.get() + " is closed");
    }
    Optional<LabelRequirement> unmet = selector.firstUnmet(backend.labels());
    return unmet.map(requirement -> "label term '" + requirement + "' is not met");
  }
}
