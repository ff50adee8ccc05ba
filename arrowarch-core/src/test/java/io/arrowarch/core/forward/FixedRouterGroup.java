package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.peer.LiveRouter;
import java.util.List;

/** A fixed group of routers for tests; searches cannot be delegated to them. */
record FixedRouterGroup(int count, List<LiveRouter> others) implements RouterGroup {
  @Override
  public ImmutableList<LiveRouter> liveRouters() {
    return ImmutableList.copyOf(others);
  }
}
