package io.arrowarch.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import io.arrowarch.core.config.ConfigurationCodec;
import io.arrowarch.core.config.ConfigurationDocument;
import io.arrowarch.core.wire.WireCodec;
import io.arrowarch.emulator.FreeAddresses;
import io.arrowarch.emulator.SampleDeployments;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * The demo deployment as real processes: a platform, 16 back ends in one process unless asked
 * apart, three routers. Waits are for conditions, with limits that only a hang reaches.
 */
final class Fleet implements AutoCloseable {
  private static final Duration LONGEST_WAIT = Duration.ofSeconds(60);
  private static final long POLL_MILLIS = 20;
  private static final int OK = 200;
  private static final ImmutableList<String> ZONES =
      ImmutableList.of("recife-1", "recife-2", "salvador");

  final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final Path directory;
  private final Map<String, ChildProcess> processes = new HashMap<>();
  private final List<String> addresses = new ArrayList<>();
  private ConfigurationDocument document;

  Fleet() {
    try (FreeAddresses free = new FreeAddresses()) {
      directory = Files.createTempDirectory("fleet");
      document = SampleDeployments.demo(free);
      for (int i = 0; i < 1 + 2 * ZONES.size(); i++) {
        addresses.add(free.get());
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    writeDocument();
    startPlatform();
    startBackends();
    for (int router = 0; router < ZONES.size(); router++) {
      startRouter(router);
    }
    awaitBackends();
    for (int router = 0; router < ZONES.size(); router++) {
      awaitReady(router);
    }
  }

  ConfigurationDocument document() {
    return document;
  }

  ChildProcess process(String name) {
    return processes.get(name);
  }

  String router(int index) {
    return addresses.get(1 + index);
  }

  String backendAddress(String id) {
    return document.backends().stream()
        .filter(backend -> backend.id().equals(id))
        .findFirst()
        .orElseThrow()
        .address();
  }

  void startRouter(int index) {
    String contacts = String.join(", ", addresses.subList(4, 7));
    Path settings = directory.resolve("router-" + index + ".yaml");
    write(
        settings,
        "id: "
            + ZONES.get(index)
            + "-router-1\n"
            + "zone: "
            + ZONES.get(index)
            + "\n"
            + "callers: "
            + router(index)
            + "\n"
            + "peers: "
            + addresses.get(4 + index)
            + "\n"
            + "platform: "
            + platform()
            + "\n"
            + "contacts: ["
            + contacts
            + "]\n"
            + "drainGrace: 1s\n");
    start("router-" + index, Arrowarch.class, "serve", "--settings", settings.toString());
  }

  void awaitReady(int router) {
    await("router " + router + " is ready", () -> status(router, "/readyz") == 200);
  }

  long versionInForce(int router) {
    return get(router(router), "/v1/status").path("inForce").path("version").asLong();
  }

  long versionAccepted(int router) {
    return get(router(router), "/v1/status").path("accepted").path("version").asLong();
  }

  /** Hands the platform a document of the next version. */
  void changeConfiguration() {
    document =
        new ConfigurationDocument(
            document.version() + 1,
            document.zones(),
            document.layouts(),
            document.backends(),
            document.kinds());
    control(platform(), "{\"configuration\":" + ConfigurationCodec.toJson(document) + "}");
  }

  String platform() {
    return addresses.get(0);
  }

  void control(String address, String json) {
    post(address, "/control", json, Map.of());
  }

  /** What a back end ran. */
  List<JsonNode> executions(String backend) {
    List<JsonNode> runs = new ArrayList<>();
    get(backendAddress(backend), "/control/executions").forEach(runs::add);
    return runs;
  }

  /** All runs of posts whose body has this buyer, on any back end. */
  long purchasesOf(String buyer) {
    return document.backends().stream()
        .flatMap(backend -> executions(backend.id()).stream())
        .filter(run -> run.path("request").path("body").path("buyer").asText().equals(buyer))
        .count();
  }

  HttpResponse<byte[]> query(int router, String kind, String body, Map<String, String> headers) {
    return post(router(router), "/v1/query/" + kind, body, headers);
  }

  HttpResponse<byte[]> post(String address, String path, String body, Map<String, String> headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(LONGEST_WAIT)
            .POST(HttpRequest.BodyPublishers.ofString(body));
    headers.forEach(request::header);
    return send(request.build());
  }

  JsonNode get(String address, String path) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(LONGEST_WAIT)
            .build();
    return json(send(request));
  }

  static JsonNode json(HttpResponse<byte[]> response) {
    return WireCodec.decodeTree(response.body()).get();
  }

  static void await(String what, BooleanSupplier condition) {
    long end = System.nanoTime() + LONGEST_WAIT.toNanos();
    while (!holds(condition)) {
      if (System.nanoTime() > end) {
        throw new AssertionError("not within " + LONGEST_WAIT + ": " + what);
      }
      pause();
    }
  }

  @Override
  public void close() {
    processes.values().forEach(ChildProcess::close);
  }

  private static boolean holds(BooleanSupplier condition) {
    try {
      return condition.getAsBoolean();
    } catch (UncheckedIOException e) {
      return false;
    }
  }

  private static void pause() {
    LockSupport.parkNanos(Duration.ofMillis(POLL_MILLIS).toNanos());
  }

  private int status(int router, String path) {
    URI uri = URI.create("http://" + router(router) + path);
    return send(HttpRequest.newBuilder(uri).timeout(LONGEST_WAIT).build()).statusCode();
  }

  private HttpResponse<byte[]> send(HttpRequest request) {
    try {
      return http.send(request, HttpResponse.BodyHandlers.ofByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  private void startPlatform() {
    start(
        "platform",
        ArrowarchEmulator.class,
        "platform",
        "--config",
        config(),
        "--listen",
        platform());
  }

  /** Tests talk to back ends at once, which need not listen when the first routers are ready. */
  private void awaitBackends() {
    await("the platform listens", () -> listens(platform(), "/v1/machines"));
    for (ConfigurationDocument.BackendSpec backend : document.backends()) {
      await(backend.id() + " listens", () -> listens(backend.address(), "/v1/health"));
    }
  }

  private boolean listens(String address, String path) {
    URI uri = URI.create("http://" + address + path);
    return send(HttpRequest.newBuilder(uri).timeout(LONGEST_WAIT).build()).statusCode() == OK;
  }

  private void startBackends() {
    start("backends", ArrowarchEmulator.class, "backend", "--config", config());
  }

  private void start(String name, Class<?> main, String... arguments) {
    processes.put(name, ChildProcess.start(directory, name, main, arguments));
  }

  private void writeDocument() {
    write(directory.resolve("config.yaml"), ConfigurationCodec.toJson(document));
  }

  private String config() {
    return directory.resolve("config.yaml").toString();
  }

  private static void write(Path file, String text) {
    try {
      Files.writeString(file, text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
