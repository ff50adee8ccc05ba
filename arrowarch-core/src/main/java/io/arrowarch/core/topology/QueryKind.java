package io.arrowarch.core.topology;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.config.ConfigurationDocument.KindSpec;
import io.arrowarch.core.config.Operation;
import io.arrowarch.core.time.Durations;
import java.time.Duration;

/**
 * A kind of query with its layout resolved and its rules parsed.
 *
 * @param deadline the default deadline, which is also the longest allowed
 * @param minimumCoverage fraction of the data below which a caller gets an error; from 0 to 1
 * @param hedgeBudget hedges and retries allowed per first attempt; from 0 to 1
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
  /** Converts a kind of a document, with its resolved layout. */
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
