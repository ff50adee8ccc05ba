package io.arrowarch.node.forward;

import com.google.common.base.Splitter;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientResponse;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A connection to a server, with how long it may rest. One request at a time. */
final class ServerConnection {
  /** Rest of a connection whose server does not say how long it keeps idle ones. */
  private static final Duration DEFAULT_REST = Duration.ofSeconds(5);

  /** The server counts from when it sent its answer, and its close takes its time to arrive. */
  private static final double REST_FRACTION = 0.7;

  /** Bounds the memory of a connection; one that has carried as many is replaced. */
  private static final int MAXIMUM_REQUESTS = 1_024;

  private static final String KEEP_ALIVE = "Keep-Alive";
  private static final Pattern TIMEOUT =
      Pattern.compile("(?i)\\s*timeout\\s*=\\s*([0-9]{1,6})\\s*");

  private final HttpClientConnection connection;
  private final CarriedRequests carried = new CarriedRequests(MAXIMUM_REQUESTS);
  private long restUntilNanos;

  /** A server says the same in each of its answers; it is read once. */
  private String lastKeepAlive;

  private Duration rest = DEFAULT_REST;
  private boolean open = true;
  private boolean answered;

  ServerConnection(HttpClientConnection connection) {
    this.connection = connection;
    this.restUntilNanos = System.nanoTime() + DEFAULT_REST.toNanos();
  }

  HttpClientConnection connection() {
    return connection;
  }

  boolean isOpen() {
    return open;
  }

  /** Whether it may take another request without the risk that its server just closes it. */
  boolean isFresh() {
    return open && System.nanoTime() < restUntilNanos && !carried.isFull();
  }

  /**
   * Whether it may have carried a request with this id. A second answer to that request, however
   * late, would be taken for the answer to another one with the same id.
   */
  boolean mayHaveCarried(String requestId) {
    return carried.mayContain(requestId);
  }

  /** Notes a request that is about to be written. */
  void onRequest(String requestId) {
    carried.add(requestId);
  }

  /** It is closed, or takes no further request after the answer that is being read. */
  void onClosed() {
    open = false;
  }

  void close() {
    open = false;
    connection.close();
  }

  /** Whether nothing has been answered on it yet. */
  boolean isNew() {
    return !answered;
  }

  /** Notes an answer, from which the time of rest counts. */
  void onAnswer(HttpClientResponse response) {
    answered = true;
    String keepAlive = response.getHeader(KEEP_ALIVE);
    if (!Objects.equals(keepAlive, lastKeepAlive)) {
      lastKeepAlive = keepAlive;
      rest = keepAlive(keepAlive).orElse(DEFAULT_REST);
    }
    restUntilNanos = System.nanoTime() + (long) (REST_FRACTION * rest.toNanos());
    if ("close".equalsIgnoreCase(response.getHeader("Connection"))) {
      open = false;
    }
  }

  private static Optional<Duration> keepAlive(String header) {
    if (header == null) {
      return Optional.empty();
    }
    for (String parameter : Splitter.on(',').split(header)) {
      Matcher matcher = TIMEOUT.matcher(parameter);
      if (matcher.matches()) {
        return Optional.of(Duration.ofSeconds(Long.parseLong(matcher.group(1))));
      }
    }
    return Optional.empty();
  }
}
