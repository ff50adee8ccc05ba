package io.arrowarch.core.topology;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.config.ConfigurationDocument.KindSpec;
import io.arrowarch.core.config.Operation;
import io.arrowarch.core.time.Durations;
import java.time.Duration;

/**
 * A kind of query in compiled form.
 *
 * @param deadline the largest and default deadline
 * @param minimumCoverage the fraction below which a caller gets an error
 * @param hedgeBudget extra attempts allowed per first attempt
 * @param repeatable whether a request may be attempted more than once
 */
public record QueryKind(
    String name,
    Operation operation,
    Layout layout,
    Duration deadline,
    double minimumCoverage,
    double hedgeBudget,
    boolean repeatable,
    ImmutableList<SelectionRule> rules) {
  /** Compiles a kind whose layout is resolved. */
  public static QueryKind of(KindSpec spec, Layout layout) {
    return new QueryKind(
        spec.name(),
        spec.operation(),
        layout,
        Durations.parse(spec.deadline()),
        spec.minimumCoverage(),
        spec.hedgeBudget(),
        spec.repeatable(),
        spec.rules().stream().map(SelectionRule::of).collect(ImmutableList.toImmutableList()));
  }
}
