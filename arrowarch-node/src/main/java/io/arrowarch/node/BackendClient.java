package io.arrowarch.node;

import com.google.common.flogger.FluentLogger;
import io.arrowarch.core.query.Attempt;
import io.arrowarch.core.query.AttemptFailure;
import io.arrowarch.core.query.AttemptTransport;
import io.arrowarch.core.replica.ProbeTransport;
import io.arrowarch.core.topology.Backend;
import io.arrowarch.core.wire.BackendReply;
import io.arrowarch.core.wire.BackendReport;
import io.arrowarch.core.wire.WireCodec;
import io.arrowarch.node.http.GuardedClients;
import io.arrowarch.node.http.LoggedResponses;
import io.vavr.control.Try;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Sends attempts and probes to back ends over HTTP/1.1, one request at a time on a connection.
 *
 * <p>Cancelling an attempt closes its connection: the back end sees that as the cancellation, and a
 * connection whose reply was abandoned is never used again. Vert.x does not resend a request by
 * itself; {@code BackendClientTest} holds it to that.
 */
final class BackendClient implements AttemptTransport, ProbeTransport {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String ATTEMPT_PATH = "/v1/attempts";
  private static final String HEALTH_PATH = "/v1/health";

  /** The core keeps attempts within a router's share of a back end's connections; see replica. */
  private static final int MAXIMUM_CONNECTIONS = 1_000;

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(600);
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(20);

  private final CoreDriver driver;
  private final HttpClient attempts;
  private final HttpClient probes;
  private final Map<String, HttpClientRequest> written = new HashMap<>();
  private long bytesSent;
  private long bytesReceived;

  BackendClient(Vertx vertx, CoreDriver driver) {
    this.driver = driver;
    this.attempts = createClient(vertx, MAXIMUM_CONNECTIONS);
    // Probes have a connection of their own, so that a frozen back end cannot hold them up.
    this.probes = createClient(vertx, 1);
  }

  @Override
  public void send(Attempt attempt) {
    attempts
        .request(options(attempt.backend(), HttpMethod.POST, ATTEMPT_PATH))
        .onSuccess(request -> driver.run(() -> write(attempt, request)))
        .onFailure(failure -> fail(attempt, AttemptFailure.UNREACHABLE));
  }

  @Override
  public void cancel(Attempt attempt) {
    HttpClientRequest request = written.remove(attempt.id());
    if (request != null) {
      request.reset();
    }
  }

  @Override
  public void probe(Backend backend) {
    RequestOptions options =
        options(backend, HttpMethod.GET, HEALTH_PATH).setTimeout(PROBE_TIMEOUT.toMillis());
    probes
        .request(options)
        .compose(HttpClientRequest::send)
        .compose(response -> BoundedBody.read(response, BoundedBody.MAXIMUM_REPORT_BYTES))
        .onSuccess(body -> onProbeBody(backend, body))
        .onFailure(failure -> logger.atFine().log("Probe: no answer from %s.", backend.id()));
  }

  /** Bytes of request bodies since the start. */
  long bytesSent() {
    return bytesSent;
  }

  /** Bytes of reply bodies since the start. */
  long bytesReceived() {
    return bytesReceived;
  }

  private void write(Attempt attempt, HttpClientRequest request) {
    if (!driver.core().mayWriteAttempt(attempt.id())) {
      request.reset();
      driver.core().onAttemptFailure(attempt.id(), AttemptFailure.NOT_WRITTEN);
      return;
    }
    written.put(attempt.id(), request);
    byte[] body = WireCodec.encode(attempt.request());
    bytesSent += body.length;
    request
        .send(Buffer.buffer(body))
        .compose(this::readReply)
        .onSuccess(reply -> onReplyBody(attempt, reply))
        .onFailure(failure -> fail(attempt, failureOf(failure)));
  }

  private Future<Buffer> readReply(HttpClientResponse response) {
    return BoundedBody.read(response, BoundedBody.MAXIMUM_REPLY_BYTES);
  }

  private void onReplyBody(Attempt attempt, Buffer body) {
    bytesReceived += body.length();
    Try<BackendReply> reply = WireCodec.decode(body.getBytes(), BackendReply.class);
    if (reply.isFailure() || !isComplete(reply.get())) {
      fail(attempt, AttemptFailure.GARBLED_REPLY);
      return;
    }
    driver.run(
        () -> {
          written.remove(attempt.id());
          driver.core().onAttemptReply(attempt.id(), reply.get());
        });
  }

  private static boolean isComplete(BackendReply reply) {
    return reply.attempt() != null
        && reply.layout() != null
        && reply.shard() != null
        && reply.snapshot() != null
        && reply.outcome() != null
        && reply.reason() != null
        && reply.document() != null
        && isComplete(reply.report());
  }

  private static boolean isComplete(BackendReport report) {
    return report != null && report.backend() != null && report.incarnation() != null;
  }

  private void onProbeBody(Backend backend, Buffer body) {
    WireCodec.decode(body.getBytes(), BackendReport.class)
        .filter(BackendClient::isComplete)
        .onSuccess(report -> driver.run(() -> driver.core().onProbeReply(backend.id(), report)))
        .onFailure(
            failure -> logger.atWarning().log("Probe: %s answered no valid report.", backend.id()));
  }

  private void fail(Attempt attempt, AttemptFailure failure) {
    driver.run(
        () -> {
          written.remove(attempt.id());
          driver.core().onAttemptFailure(attempt.id(), failure);
        });
  }

  private static AttemptFailure failureOf(Throwable failure) {
    return failure instanceof BoundedBody.TooLongException
        ? AttemptFailure.GARBLED_REPLY
        : AttemptFailure.CONNECTION_LOST;
  }

  private static RequestOptions options(Backend backend, HttpMethod method, String path) {
    SocketAddressSetting address = SocketAddressSetting.parse(backend.address());
    return new RequestOptions()
        .setMethod(method)
        .setHost(address.host())
        .setPort(address.port())
        .setURI(path);
  }

  private static HttpClient createClient(Vertx vertx, int connectionsPerBackend) {
    return GuardedClients.create(
        vertx,
        new HttpClientOptions()
            .setKeepAlive(true)
            .setPipelining(false)
            .setTcpNoDelay(true)
            .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
            .setKeepAliveTimeout((int) IDLE_TIMEOUT.toSeconds()),
        new PoolOptions().setHttp1MaxSize(connectionsPerBackend),
        LoggedResponses::of);
  }
}
