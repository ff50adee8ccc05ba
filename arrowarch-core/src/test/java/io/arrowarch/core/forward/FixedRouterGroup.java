package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.peer.NearbyRouter;
import java.util.List;

/** A fixed group of routers for tests; searches cannot be delegated to them. */
record FixedRouterGroup(int count, List<NearbyRouter> others) implements RouterGroup {
  @Override
  public ImmutableList<NearbyRouter> nearby() {
    return ImmutableList.copyOf(others);
  }
}
