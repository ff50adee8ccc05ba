package io.arrowarch.core.forward;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Which routers watch the store closely, so that its silence is found in time and the others hear
 * of what they miss: a quarter of each zone, chosen by a hash of their ids, two at least.
 */
final class Lookouts {
  private static final int FEWEST = 2;
  private static final int ROUTERS_FOR_EACH = 4;
  private static final HashFunction HASH = Hashing.murmur3_128();

  private final ForwardOptions options;
  private final RouterGroup routers;
  private final long ownWeight;

  Lookouts(ForwardOptions options, RouterGroup routers) {
    this.options = options;
    this.routers = routers;
    this.ownWeight = weight(options.id());
  }

  /** Whether this router is one; every router is while it knows no other of its zone. */
  boolean includesSelf() {
    int ofZone = 1;
    int before = 0;
    for (NearbyRouter router : routers.nearby()) {
      if (router.zone().equals(options.zone())) {
        ofZone++;
        before += weight(router.id()) < ownWeight ? 1 : 0;
      }
    }
    return before < Math.max(FEWEST, ofZone / ROUTERS_FOR_EACH);
  }

  private static long weight(String router) {
    return HASH.hashString(router, StandardCharsets.UTF_8).asLong();
  }
}
