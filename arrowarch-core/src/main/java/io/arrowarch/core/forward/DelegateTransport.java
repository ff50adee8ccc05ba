package io.arrowarch.core.forward;

import io.arrowarch.core.peer.LiveRouter;

/** Sends searches to other routers. Outcomes are reported to {@link ForwardCoordinator}. */
public interface DelegateTransport {
  /** Sends nothing. For routers that know no others and therefore never delegate. */
  DelegateTransport NONE =
      new DelegateTransport() {
        @Override
        public void send(long number, LiveRouter delegate, DelegatedSearch search) {}

        @Override
        public void cancel(long number) {}
      };

  /** Sends a search. Its end is reported once, never before this method returns. */
  void send(long number, LiveRouter delegate, DelegatedSearch search);

  /** Cancels the search on the other router. Its end is not reported. */
  void cancel(long number);
}
