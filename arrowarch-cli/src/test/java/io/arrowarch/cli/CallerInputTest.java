package io.arrowarch.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.net.HostAndPort;
import io.arrowarch.node.CallerProtocol;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Bad input from callers: a typed error that says that nothing ran, and a router that lives on. */
public class CallerInputTest {
  private static final String SEARCH = "listing-search";
  private static final Map<String, String> NO_HEADERS = Map.of();

  private Fleet fleet;

  @BeforeClass
  public void startFleet() {
    fleet = new Fleet();
  }

  @AfterClass(alwaysRun = true)
  public void stopFleet() {
    fleet.close();
  }

  @DataProvider
  public Object[][] badRequests() {
    return new Object[][] {
      {SEARCH, "{", NO_HEADERS, 400, "malformed-request"},
      {SEARCH, "null", NO_HEADERS, 400, "malformed-request"},
      {SEARCH, "{\"limit\":0}", NO_HEADERS, 400, "malformed-request"},
      {SEARCH, "{\"limit\":\"many\"}", NO_HEADERS, 400, "malformed-request"},
      {SEARCH, "{\"unknown\":1}", NO_HEADERS, 400, "malformed-request"},
      {SEARCH, "{} {}", NO_HEADERS, 400, "malformed-request"},
      {"no-such-kind", "{}", NO_HEADERS, 404, "unknown-kind"},
      {"listing-fetch", "{}", NO_HEADERS, 400, "malformed-request"},
      {SEARCH, "{}", deadline("soon"), 400, "invalid-deadline"},
      {SEARCH, "{}", deadline("0"), 400, "invalid-deadline"},
      {SEARCH, "{}", deadline("-5"), 400, "invalid-deadline"},
      {SEARCH, "{}", deadline("99999999"), 400, "invalid-deadline"},
      {SEARCH, "x".repeat((1 << 20) + 1), NO_HEADERS, 413, "body-too-large"},
      {
        "purchase",
        "{\"key\":\"k\"}",
        Map.of(CallerProtocol.TICKET_HEADER, "x"),
        400,
        "malformed-request"
      },
      {"purchase", "{\"key\":\"k\"}", NO_HEADERS, 428, "ticket-required"},
    };
  }

  @Test(dataProvider = "badRequests")
  public void isAnsweredByATypedError(
      String kind, String body, Map<String, String> headers, int status, String error) {
    HttpResponse<byte[]> response = fleet.query(0, kind, body, headers);
    assertThat(Fleet.json(response).path("error").path("kind").asText()).isEqualTo(error);
    assertThat(response.statusCode()).isEqualTo(status);
    assertThat(response.headers().firstValue(CallerProtocol.EXECUTED_HEADER)).contains("no");
  }

  @Test
  public void repeatedHeaderIsRefused() throws IOException {
    String answer =
        exchange(
            """
            POST /v1/query/listing-search HTTP/1.1
            Host: x
            Content-Length: 0
            Arrowarch-Deadline-Millis: 5
            Arrowarch-Deadline-Millis: 6
            Connection: close

            """);
    assertThat(answer).startsWith("HTTP/1.1 400").contains("duplicate-header");
  }

  @Test
  public void halfSentBodyIsGivenUpAndAnswered() throws IOException {
    String answer =
        exchange(
            """
            POST /v1/query/listing-search HTTP/1.1
            Host: x
            Content-Length: 50

            {""");
    assertThat(answer).startsWith("HTTP/1.1 408").contains("request-timeout");
  }

  @Test
  public void unknownPathIsATypedError() {
    HttpResponse<byte[]> response = fleet.post(fleet.router(0), "/nowhere", "{}", NO_HEADERS);
    assertThat(response.statusCode()).isEqualTo(404);
    assertThat(Fleet.json(response).path("error").path("kind").asText()).isEqualTo("unknown-path");
  }

  @Test(dependsOnMethods = {"isAnsweredByATypedError", "halfSentBodyIsGivenUpAndAnswered"})
  public void routerStillServesAfterAllThat() {
    Fleet.await(
        "a search is answered", () -> fleet.query(0, SEARCH, "{}", NO_HEADERS).statusCode() == 200);
  }

  private static Map<String, String> deadline(String text) {
    return Map.of(CallerProtocol.DEADLINE_HEADER, text);
  }

  /** Sends lines and reads until the router closes the connection. */
  private String exchange(String lines) throws IOException {
    HostAndPort address = HostAndPort.fromString(fleet.router(0));
    try (Socket socket = new Socket(address.getHost(), address.getPort())) {
      String bytes = lines.replace("\n", "\r\n");
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
  }
}
