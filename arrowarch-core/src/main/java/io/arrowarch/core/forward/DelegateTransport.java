package io.arrowarch.core.forward;

import io.arrowarch.core.peer.LiveRouter;

/** Hands searches to other routers. Outcomes go to {@link ForwardCoordinator}. */
public interface DelegateTransport {
  /** Hands no search on: each ends as unreachable. For routers that know no others. */
  DelegateTransport NONE =
      new DelegateTransport() {
        @Override
        public void send(long number, LiveRouter delegate, DelegatedSearch search) {}

        @Override
        public void cancel(long number) {}
      };

  /** Sends a search; its end is told once, never before this method returns. */
  void send(long number, LiveRouter delegate, DelegatedSearch search);

  /** Makes the other router stop; nothing is told of the search any more. */
  void cancel(long number);
}
