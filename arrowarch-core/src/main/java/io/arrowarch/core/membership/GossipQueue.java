package io.arrowarch.core.membership;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A queue of gossip items. Each item is sent a limited number of times; those sent least often go
 * first. The limit grows with the logarithm of the number of members.
 *
 * @param <K> the subject of an item; a newer item replaces an older one of the same key
 * @param <T> the item
 */
final class GossipQueue<K, T> {
  private static final int TRANSMISSIONS_PER_DOUBLING = 3;

  private final Map<K, Item<T>> items = new LinkedHashMap<>();

  private static final class Item<T> {
    private final T news;
    private int transmissions;

    private Item(T news) {
      this.news = news;
    }
  }

  void add(K key, T news) {
    items.put(key, new Item<>(news));
  }

  /**
   * Takes the items for one message.
   *
   * @param maximum the number of items at most
   * @param members number of members, from which the limit of transmissions per item follows
   */
  ImmutableList<T> take(int maximum, int members) {
    int transmissionLimit =
        TRANSMISSIONS_PER_DOUBLING * (Integer.SIZE - Integer.numberOfLeadingZeros(members));
    ImmutableList<Map.Entry<K, Item<T>>> chosen =
        items.entrySet().stream()
            .sorted(Comparator.comparingInt(entry -> entry.getValue().transmissions))
            .limit(maximum)
            .collect(ImmutableList.toImmutableList());
    ImmutableList.Builder<T> taken = ImmutableList.builder();
    for (Map.Entry<K, Item<T>> entry : chosen) {
      Item<T> item = entry.getValue();
      taken.add(item.news);
      if (++item.transmissions >= transmissionLimit) {
        items.remove(entry.getKey());
      }
    }
    return taken.build();
  }
}
