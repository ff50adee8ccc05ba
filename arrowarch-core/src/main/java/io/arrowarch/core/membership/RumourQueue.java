package io.arrowarch.core.membership;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * News to pass on, each a limited number of times, the least told first.
 *
 * @param <K> what the news is about; newer news replaces older of the same key
 * @param <T> the news
 */
final class RumourQueue<K, T> {
  private static final int TRANSMISSIONS_PER_DOUBLING = 3;

  private final Map<K, Rumour<T>> rumours = new LinkedHashMap<>();

  private static final class Rumour<T> {
    private final T news;
    private int transmissions;

    private Rumour(T news) {
      this.news = news;
    }
  }

  void add(K key, T news) {
    rumours.put(key, new Rumour<>(news));
  }

  /**
   * Takes news for one message.
   *
   * @param members size of the membership, which decides how often each piece is passed on
   */
  ImmutableList<T> take(int maximum, int members) {
    int transmissionLimit =
        TRANSMISSIONS_PER_DOUBLING * (Integer.SIZE - Integer.numberOfLeadingZeros(members));
    ImmutableList<Map.Entry<K, Rumour<T>>> chosen =
        rumours.entrySet().stream()
            .sorted(Comparator.comparingInt(entry -> entry.getValue().transmissions))
            .limit(maximum)
            .collect(ImmutableList.toImmutableList());
    ImmutableList.Builder<T> taken = ImmutableList.builder();
    for (Map.Entry<K, Rumour<T>> entry : chosen) {
      Rumour<T> rumour = entry.getValue();
      taken.add(rumour.news);
      if (++rumour.transmissions >= transmissionLimit) {
        rumours.remove(entry.getKey());
      }
    }
    return taken.build();
  }
}
