package io.arrowarch.core.selector;

import com.google.common.collect.ImmutableSet;
import java.util.Arrays;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One term of a selector: a label key, an operator, and the values it is compared with. */
public final class LabelRequirement {
  private static final String KEY = "([A-Za-z0-9][A-Za-z0-9._/-]*)";
  private static final String VALUE = "([A-Za-z0-9][A-Za-z0-9._-]*)";
  private static final Pattern SET = Pattern.compile(KEY + "\\s+(in|notin)\\s*\\(([^()]*)\\)");
  private static final Pattern EQUALITY = Pattern.compile(KEY + "\\s*(=|==|!=)\\s*" + VALUE);
  private static final Pattern EXISTENCE = Pattern.compile("(!?)\\s*" + KEY);
  private static final Pattern VALUE_FORMAT = Pattern.compile(VALUE);

  private enum Operator {
    IN,
    NOT_IN,
    EXISTS,
    ABSENT
  }

  private final String text;
  private final String key;
  private final Operator operator;
  private final ImmutableSet<String> values;

  private LabelRequirement(
      String text, String key, Operator operator, ImmutableSet<String> values) {
    this.text = text;
    this.key = key;
    this.operator = operator;
    this.values = values;
  }

  static LabelRequirement parse(String term) {
    Matcher set = SET.matcher(term);
    if (set.matches()) {
      Operator operator = set.group(2).equals("in") ? Operator.IN : Operator.NOT_IN;
      return new LabelRequirement(term, set.group(1), operator, parseValues(term, set.group(3)));
    }
    Matcher equality = EQUALITY.matcher(term);
    if (equality.matches()) {
      Operator operator = equality.group(2).equals("!=") ? Operator.NOT_IN : Operator.IN;
      return new LabelRequirement(
          term, equality.group(1), operator, ImmutableSet.of(equality.group(3)));
    }
    Matcher existence = EXISTENCE.matcher(term);
    if (existence.matches()) {
      Operator operator = existence.group(1).isEmpty() ? Operator.EXISTS : Operator.ABSENT;
      return new LabelRequirement(term, existence.group(2), operator, ImmutableSet.of());
    }
    throw new IllegalArgumentException("'" + term + "' is not a label term");
  }

  /** Whether the labels meet this term. A missing label meets {@code notin} and {@code !=}. */
  public boolean matches(Map<String, String> labels) {
    String value = labels.get(key);
    return switch (operator) {
      case IN -> value != null && values.contains(value);
      case NOT_IN -> value == null || !values.contains(value);
      case EXISTS -> value != null;
      case ABSENT -> value == null;
    };
  }

  @Override
  public String toString() {
    return text;
  }

  private static ImmutableSet<String> parseValues(String term, String list) {
    ImmutableSet<String> values =
        Arrays.stream(list.split(",", -1)).map(String::trim).collect(ImmutableSet.toImmutableSet());
    if (!values.stream().allMatch(value -> VALUE_FORMAT.matcher(value).matches())) {
      throw new IllegalArgumentException("'" + term + "' has an empty or malformed value");
    }
    return values;
  }
}
