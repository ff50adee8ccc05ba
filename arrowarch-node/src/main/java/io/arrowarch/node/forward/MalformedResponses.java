package io.arrowarch.node.forward;

import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.event.RouterEvent;
import io.arrowarch.node.http.MalformedResponseException;
import io.arrowarch.node.http.ResponseListener;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** Reports peers that send malformed responses: an event for each, and a count by kind of peer. */
final class MalformedResponses {
  private final EventLog events;
  private final Map<PeerKind, Long> counts = new EnumMap<>(PeerKind.class);

  /** Kinds of peers that send responses. */
  enum PeerKind {
    /** A back end. */
    SERVER,
    /** The store, or a router whose view of the store is followed. */
    FEED,
    /** A router that runs searches of this one. */
    ROUTER;

    String logName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  MalformedResponses(EventLog events) {
    this.events = events;
  }

  /** Malformed responses since the start. */
  long count(PeerKind kind) {
    return counts.getOrDefault(kind, 0L);
  }

  /** A listener for one connection of a pool, which drops it when it closes. */
  ResponseListener ofPooled(PeerKind kind, String name) {
    return of(kind, name, () -> {});
  }

  /**
   * A listener for one connection.
   *
   * @param name id or address of the peer
   * @param onUnusable run when the connection can take no further request
   */
  ResponseListener of(PeerKind kind, String name, Runnable onUnusable) {
    return new ResponseListener() {
      @Override
      public void onUnusable() {
        onUnusable.run();
      }

      @Override
      public void onMalformed(MalformedResponseException malformed, int bytes) {
        counts.merge(kind, 1L, Long::sum);
        events.log(
            new RouterEvent.MalformedResponse(
                kind.logName(), name, malformed.fault().logName(), bytes, malformed.excerpt()));
      }
    };
  }
}
