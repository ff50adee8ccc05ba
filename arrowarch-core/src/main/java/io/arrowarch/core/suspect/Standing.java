package io.arrowarch.core.suspect;

import java.util.Locale;

/** Whether a request may be sent to servers. */
public enum Standing {
  /** It is sent to servers like any other. */
  FREE,
  /**
   * Several servers crashed while running it and none answered it, or its quarantine period is
   * over: it needs a canary first.
   */
  SUSPECTED,
  /**
   * It crashed the server that ran its canary, or two canaries ended without a result: it is sent
   * to no server.
   */
  QUARANTINED;

  /** Returns the name in logs. */
  public String logName() {
    return name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
