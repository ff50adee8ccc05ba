package io.arrowarch.core.selector;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Label selectors: each operator with a label that is present and one that is missing, and terms
 * that must be refused rather than parsed as something else.
 */
public class LabelSelectorTest {
  private static final Map<String, String> LABELS = Map.of("tier", "hot", "service", "shop");

  @DataProvider
  public Object[][] selectors() {
    return new Object[][] {
      {"tier in (hot, warm)", true},
      {"tier in (cold)", false},
      {"tier notin (cold)", true},
      {"zone notin (z1)", true},
      {"zone in (z1)", false},
      {"service = shop", true},
      {"service == shop", true},
      {"service != shop", false},
      {"tier", true},
      {"canary", false},
      {"!canary", true},
      {"!tier", false},
      {"tier in (hot, warm), !canary, service=shop", true},
      {"tier in (hot, warm), canary", false},
    };
  }

  @Test(dataProvider = "selectors")
  public void matches(String text, boolean expected) {
    assertThat(LabelSelector.parse(text).matches(LABELS)).isEqualTo(expected);
  }

  @DataProvider
  public Object[][] malformed() {
    return new Object[][] {
      {""}, {"tier in ()"}, {"tier in hot"}, {"a b"}, {"tier in (hot"}, {"a,"}
    };
  }

  @Test(dataProvider = "malformed")
  public void refusesMalformedTerms(String text) {
    assertThatThrownBy(() -> LabelSelector.parse(text))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
