package io.arrowarch.node.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** An id that is forgotten lets a late answer be taken for the answer to a later request. */
public final class CarriedRequestsTest {
  private static final int MAXIMUM = 500;

  /** Growing the table, or two ids with one hash, loses an id. */
  @Test
  public void keepsEachIdUntilItIsFull() {
    CarriedRequests carried = new CarriedRequests(MAXIMUM);
    int added = 0;
    while (!carried.isFull()) {
      carried.add("id-" + added++);
      for (int i = 0; i < added; i++) {
        assertThat(carried.mayContain("id-" + i)).as("id-%d of %d", i, added).isTrue();
      }
    }

    assertThat(added).isGreaterThanOrEqualTo(MAXIMUM);
  }

  /** A table that takes other ids for carried ones makes connections useless. */
  @Test
  public void containsNoIdThatWasNotAdded() {
    CarriedRequests carried = new CarriedRequests(MAXIMUM);
    carried.add("");
    for (int i = 0; i < MAXIMUM / 2; i++) {
      carried.add("id-" + i);
    }

    assertThat(carried.mayContain("")).isTrue();
    assertThat(carried.mayContain("other")).isFalse();
    assertThat(carried.isFull()).isFalse();
  }
}
