package io.arrowarch.node.http;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;

/** Writes what is wrong with the responses of peers to the process's log. */
public final class LoggedResponses {
  private static final int LOG_INTERVAL_SECONDS = 10;

  private LoggedResponses() {}

  /**
   * A listener for one connection.
   *
   * @param peer its address, as HOST:PORT
   */
  public static ResponseListener of(String peer) {
    return new ResponseListener() {
      @Override
      public void onMalformed(MalformedResponseException malformed, int bytes) {
        Log.logger
            .atWarning()
            .atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS)
            .log(
                "Response: %s of %d bytes from %s: %s.",
                malformed.fault().logName(), bytes, peer, malformed.excerpt());
      }
    };
  }

  /** Opened by the first line, since it takes a sixth of a process's start. */
  private static final class Log {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  }
}
