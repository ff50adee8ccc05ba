package io.arrowarch.core.selector;

import com.google.common.collect.ImmutableList;
import java.util.Map;
import java.util.Optional;

/** Selects back ends by their labels, which must meet every {@link LabelRequirement}. */
public final class LabelSelector {
  private final String text;
  private final ImmutableList<LabelRequirement> requirements;

  private LabelSelector(String text, ImmutableList<LabelRequirement> requirements) {
    this.text = text;
    this.requirements = requirements;
  }

  /**
   * Parses terms separated by commas. The forms of a term are {@code tier in (hot, warm)}, {@code
   * zone notin (z1)}, {@code app = shop}, {@code app != shop}, {@code canary} and {@code !canary}.
   *
   * @throws IllegalArgumentException when a term has none of these forms
   */
  public static LabelSelector parse(String text) {
    ImmutableList.Builder<LabelRequirement> requirements = ImmutableList.builder();
    for (String term : splitOutsideParentheses(text)) {
      requirements.add(LabelRequirement.parse(term));
    }
    return new LabelSelector(text, requirements.build());
  }

  /** The first requirement that the labels do not meet; empty when they meet all. */
  public Optional<LabelRequirement> firstUnmet(Map<String, String> labels) {
    return requirements.stream().filter(requirement -> !requirement.matches(labels)).findFirst();
  }

  /** Whether the labels meet every requirement. */
  public boolean matches(Map<String, String> labels) {
    return firstUnmet(labels).isEmpty();
  }

  @Override
  public String toString() {
    return text;
  }

  private static ImmutableList<String> splitOutsideParentheses(String text) {
    ImmutableList.Builder<String> terms = ImmutableList.builder();
    int depth = 0;
    int start = 0;
    for (int i = 0; i < text.length(); i++) {
      char character = text.charAt(i);
      if (character == '(') {
        depth++;
      } else if (character == ')') {
        depth--;
      } else if (character == ',' && depth == 0) {
        terms.add(text.substring(start, i).trim());
        start = i + 1;
      }
    }
    terms.add(text.substring(start).trim());
    return terms.build();
  }
}
