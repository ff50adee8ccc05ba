package io.arrowarch.core.suspect;

import java.util.Locale;
import java.util.Optional;

/** Kind of a report about one request, which routers send each other. */
enum ReportKind {
  /** Servers crashed while running it. Their number decides whether it is suspected. */
  ENDS,
  /** It crashed the server that ran its canary, or two canaries ended without a result. */
  QUARANTINE,
  /** A server ran it and answered. */
  CLEARANCE;

  /** Returns the kind's name in messages. */
  String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the kind with a name in messages; empty if this version does not know the name. */
  static Optional<ReportKind> ofWireName(String name) {
    for (ReportKind kind : values()) {
      if (kind.wireName().equals(name)) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }
}
