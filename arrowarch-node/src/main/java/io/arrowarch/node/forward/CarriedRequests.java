package io.arrowarch.node.forward;

/**
 * The ids of the requests that one connection has carried, as hashes. Different ids with the same
 * hash are taken for one, which costs no more than the use of another connection.
 */
final class CarriedRequests {
  private static final int INITIAL_SLOTS = 16;

  /** Slots for each id that is kept, so that searches stay short. */
  private static final int SLOTS_PER_ID = 2;

  /** Marks a free slot, and is the hash of no id. */
  private static final int FREE = 0;

  private static final int HASH_IN_PLACE_OF_FREE = 1;

  private final int maximum;
  private int[] slots = new int[INITIAL_SLOTS];
  private int count;

  /**
   * Creates an empty set.
   *
   * @param maximum the most ids that it keeps
   */
  CarriedRequests(int maximum) {
    this.maximum = maximum;
  }

  /** Whether no further id can be kept. */
  boolean isFull() {
    return count >= maximum;
  }

  /** Whether a request with this id may have been carried. */
  boolean mayContain(String id) {
    int hash = hash(id);
    return slots[slotOf(hash, slots)] == hash;
  }

  /** Keeps an id. */
  void add(String id) {
    if (SLOTS_PER_ID * (count + 1) > slots.length) {
      grow();
    }
    if (put(hash(id), slots)) {
      count++;
    }
  }

  private void grow() {
    int[] larger = new int[2 * slots.length];
    for (int hash : slots) {
      if (hash != FREE) {
        boolean unused = put(hash, larger);
      }
    }
    slots = larger;
  }

  private static boolean put(int hash, int[] slots) {
    int slot = slotOf(hash, slots);
    boolean added = slots[slot] == FREE;
    slots[slot] = hash;
    return added;
  }

  /** The slot with this hash, or the free one where it belongs. */
  private static int slotOf(int hash, int[] slots) {
    int slot = hash & (slots.length - 1);
    while (slots[slot] != FREE && slots[slot] != hash) {
      slot = (slot + 1) & (slots.length - 1);
    }
    return slot;
  }

  private static int hash(String id) {
    int hash = id.hashCode();
    int mixed = hash ^ (hash >>> (Integer.SIZE / 2));
    return mixed == FREE ? HASH_IN_PLACE_OF_FREE : mixed;
  }
}
