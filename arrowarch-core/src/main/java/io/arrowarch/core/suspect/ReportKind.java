package io.arrowarch.core.suspect;

import java.util.Locale;
import java.util.Optional;

/** What a router tells another of a request. */
enum ReportKind {
  /** Servers have ended under it; how many of them says the rest. */
  ENDS,
  /** It has ended the server that it was tried on. */
  QUARANTINE,
  /** A server has run it to an answer. */
  CLEARANCE;

  /** The word in messages. */
  String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** The kind of a word in messages; empty for one that this version does not know. */
  static Optional<ReportKind> ofWireName(String name) {
    for (ReportKind kind : values()) {
      if (kind.wireName().equals(name)) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }
}
