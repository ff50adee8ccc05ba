package io.arrowarch.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.arrowarch.core.wire.WireCodec;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;

/** Blocking HTTP calls of the short-lived commands. */
final class HttpCalls {
  private static final Duration TIMEOUT = Duration.ofSeconds(65);
  private static final HttpClient CLIENT =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private HttpCalls() {}

  static HttpResponse<byte[]> get(String node, String path) throws CommandException {
    return send(node, HttpRequest.newBuilder(uri(node, path)).GET());
  }

  static HttpResponse<byte[]> post(
      String node, String path, Map<String, String> headers, byte[] body) throws CommandException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(uri(node, path)).POST(HttpRequest.BodyPublishers.ofByteArray(body));
    headers.forEach(request::header);
    return send(node, request);
  }

  static String pretty(byte[] json) {
    return WireCodec.decodeTree(json)
        .map(JsonNode::toPrettyString)
        .getOrElse(() -> new String(json, StandardCharsets.UTF_8));
  }

  private static URI uri(String node, String path) throws CommandException {
    try {
      return URI.create("http://" + node + path);
    } catch (IllegalArgumentException e) {
      throw new CommandException("'" + node + "' is not an address", e);
    }
  }

  private static HttpResponse<byte[]> send(String node, HttpRequest.Builder request)
      throws CommandException {
    try {
      return CLIENT.send(request.timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofByteArray());
    } catch (IOException e) {
      throw new CommandException("no answer from " + node + ": " + e.getMessage(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException("interrupted", e);
    }
  }
}
