package io.arrowarch.core.suspect;

import java.util.Locale;
import java.util.Optional;

/** What a router tells another of a request. */
enum Verdict {
  /** Servers have ended under it; how many of them says the rest. */
  ACCUSED,
  /** It has ended the server that it was tried on. */
  CONVICTED,
  /** A server has run it to an answer. */
  CLEARED;

  /** The word in messages. */
  String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** The verdict of a word in messages; empty for one that this version does not know. */
  static Optional<Verdict> ofWireName(String name) {
    for (Verdict verdict : values()) {
      if (verdict.wireName().equals(name)) {
        return Optional.of(verdict);
      }
    }
    return Optional.empty();
  }
}
