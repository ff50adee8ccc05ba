package io.arrowarch.core.waiting;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * The order of waiting work. Without turns per tenant one busy tenant would get nearly all of them,
 * and without turns for the least urgent priority that one would starve.
 */
public final class FairQueueTest {
  private FairQueue<String> queue;

  @BeforeMethod
  public void create() {
    queue = new FairQueue<>();
  }

  @Test
  public void newestWorkOfTenantGoesFirst() {
    queue.add("old", 1, "t");
    queue.add("new", 1, "t");
    assertThat(pollAll()).containsExactly("new", "old");
  }

  @Test
  public void tenantsOfSamePriorityTakeTurns() {
    for (int i = 0; i < 7; i++) {
      queue.add("hot-" + i, 1, "hot");
    }
    queue.add("quiet-1", 1, "quiet");
    queue.add("quiet-2", 1, "quiet");
    queue.add("hot-7", 1, "hot");
    assertThat(pollAll().subList(0, 4)).contains("quiet-1", "quiet-2");
  }

  @Test
  public void urgentWorkGoesFirstAndLeastUrgentIsNotStarved() {
    for (int i = 0; i < 8; i++) {
      queue.add("urgent-" + i, 0, "t");
    }
    queue.add("later", 2, "t");
    List<String> order = pollAll();
    assertThat(order.get(0)).startsWith("urgent");
    assertThat(order.indexOf("later")).isEqualTo(3);
  }

  @Test
  public void removedWorkIsNotPolled() {
    queue.add("one", 1, "t");
    queue.add("two", 1, "t");
    assertThat(queue.remove("two")).isTrue();
    assertThat(queue.remove("two")).isFalse();
    assertThat(pollAll()).containsExactly("one");
    assertThat(queue.isEmpty()).isTrue();
  }

  private List<String> pollAll() {
    List<String> order = new ArrayList<>();
    while (!queue.isEmpty()) {
      order.add(queue.poll().orElseThrow());
    }
    return order;
  }
}
