package io.arrowarch.core.suspect;

import java.util.Locale;

/** What is believed of a request. */
public enum Standing {
  /** Nothing that keeps it from servers. */
  FREE,
  /** Several servers have ended under it and none has answered it: it is tried on one first. */
  SUSPECTED,
  /** It has ended the server that it was tried on: no server gets it. */
  QUARANTINED;

  /** The word in logs. */
  public String logName() {
    return name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
