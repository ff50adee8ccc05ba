package io.arrowarch.node;

import com.google.common.flogger.FluentLogger;
import io.arrowarch.core.quorum.ConfigurationStore;
import io.arrowarch.core.router.PlatformTransport;
import io.arrowarch.core.wire.MachineList;
import io.arrowarch.core.wire.WireCodec;
import io.arrowarch.node.http.GuardedClients;
import io.arrowarch.node.http.LoggedResponses;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/** Reads the platform's configuration service and list of machines. */
final class PlatformClient implements PlatformTransport {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String CONFIGURATION_PATH = "/v1/configuration";
  private static final String MACHINES_PATH = "/v1/machines";
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final int LOG_INTERVAL_SECONDS = 10;

  private final CoreDriver driver;
  private final HttpClient client;
  private final SocketAddressSetting platform;
  private byte[] lastDocument = new byte[0];

  PlatformClient(Vertx vertx, CoreDriver driver, SocketAddressSetting platform) {
    this.driver = driver;
    this.platform = platform;
    this.client =
        GuardedClients.create(
            vertx,
            new HttpClientOptions().setConnectTimeout((int) TIMEOUT.toMillis()),
            new PoolOptions().setHttp1MaxSize(1),
            LoggedResponses::of);
  }

  @Override
  public void fetchConfiguration() {
    get(CONFIGURATION_PATH).onSuccess(this::onConfiguration).onFailure(this::logFailure);
  }

  @Override
  public void fetchMachineList() {
    get(MACHINES_PATH).onSuccess(this::onMachineList).onFailure(this::logFailure);
  }

  private void onConfiguration(Buffer body) {
    byte[] document = body.getBytes();
    if (Arrays.equals(document, lastDocument)) {
      return;
    }
    lastDocument = document;
    driver.run(() -> takeConfiguration(body.toString()));
  }

  private void takeConfiguration(String json) {
    ConfigurationStore.OfferResult offer = driver.core().onPlatformConfiguration(json);
    ConfigurationStore store = driver.core().configurationStore();
    if (offer == ConfigurationStore.OfferResult.APPLIED) {
      logger.atInfo().log("Config: version %d is in force.", store.inForceId().version());
    } else if (offer == ConfigurationStore.OfferResult.REFUSED) {
      store
          .refused()
          .ifPresent(
              refused ->
                  logger.atWarning().log(
                      "Config: refused version %d: %s.", refused.version(), refused.faults()));
    }
  }

  private void onMachineList(Buffer body) {
    WireCodec.decode(body.getBytes(), MachineList.class)
        .onSuccess(list -> driver.run(() -> driver.core().onMachineList(list)))
        .onFailure(this::logFailure);
  }

  private Future<Buffer> get(String path) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(platform.host())
            .setPort(platform.port())
            .setURI(path)
            .setTimeout(TIMEOUT.toMillis());
    return client
        .request(options)
        .compose(HttpClientRequest::send)
        .compose(
            response ->
                response.statusCode() == 200
                    ? BoundedBody.read(response, BoundedBody.MAXIMUM_DOCUMENT_BYTES)
                    : Future.failedFuture("status " + response.statusCode()));
  }

  private void logFailure(Throwable failure) {
    logger.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
        "Platform: no answer: %s.", failure.getMessage());
  }
}
