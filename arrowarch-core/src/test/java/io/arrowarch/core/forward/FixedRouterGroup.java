package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.peer.NearbyRouter;
import io.arrowarch.core.tenant.LimitPeers;
import java.util.List;

/** A group of routers that a test sets; searches cannot be handed to them. */
record FixedRouterGroup(int count, List<NearbyRouter> others) implements RouterGroup {
  @Override
  public ImmutableList<NearbyRouter> nearby() {
    return ImmutableList.copyOf(others);
  }

  @Override
  public ImmutableList<String> contacts() {
    return ImmutableList.of();
  }

  @Override
  public LimitPeers limitPeers() {
    return LimitPeers.NONE;
  }

  @Override
  public DelegateTransport transport() {
    return DelegateTransport.NONE;
  }
}
