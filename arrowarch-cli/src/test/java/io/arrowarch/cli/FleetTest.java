package io.arrowarch.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.arrowarch.node.CallerProtocol;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The promises with real processes and real signals, one run each. */
public class FleetTest {
  private static final String SEARCH = "listing-search";
  private static final String PURCHASE = "purchase";
  private static final Map<String, String> NO_HEADERS = Map.of();

  private Fleet fleet;

  @BeforeMethod
  public void startFleet() {
    fleet = new Fleet();
  }

  @AfterMethod(alwaysRun = true)
  public void stopFleet() {
    fleet.close();
  }

  /** Promises 1 and 2: one snapshot and exact coverage while every back end rolls over. */
  @Test
  public void everyAnswerIsFromOneSnapshotDuringRollOver() {
    List<String> backends = fleet.document().backends().stream().map(b -> b.id()).toList();
    for (int roll = 0; roll < 3; roll++) {
      for (String backend : backends) {
        fleet.control(fleet.backendAddress(backend), "{\"publish\":1}");
        checkSnapshot(search(roll % 3, "roll " + backend));
      }
    }
  }

  /** Promises 2 and 3: wrong replies are never merged; what is missing is named. */
  @Test
  public void wrongRepliesLowerCoverageAndNeverMix() {
    for (String fault :
        List.of(
            "garbage",
            "truncated",
            "too-long",
            "wrong-attempt",
            "never",
            "reset-after-run",
            "reset-before-run",
            "unmarked-503")) {
      setFault("storefront-3-a", fault);
      setFault("storefront-3-b", fault);
      for (int i = 0; i < 3; i++) {
        JsonNode answer = search(i, fault + " " + i);
        checkSnapshot(answer);
        assertThat(answer.path("coverage").path("missing").toString()).isEqualTo("[\"s3\"]");
        assertThat(answer.path("coverage").path("fraction").asDouble()).isEqualTo(0.875);
      }
    }
    setFault("storefront-3-a", "none");
    setFault("storefront-3-b", "none");
    Fleet.await(
        "full coverage is back",
        () -> search(0, "healed").path("coverage").path("fraction").asDouble() == 1.0);
  }

  /** Promises 4 and 5: a broken connection is not resent by any library; a resend runs nothing. */
  @Test
  public void purchaseRunsOnceThroughBrokenConnectionAndResends() {
    fleet.document().backends().forEach(b -> setFault(b.id(), "reset-after-run"));
    String body = purchaseBody("fan-1");
    Map<String, String> ticket = ticket(0, body);
    HttpResponse<byte[]> first = fleet.query(0, PURCHASE, body, ticket);
    assertThat(first.headers().firstValue(CallerProtocol.EXECUTED_HEADER)).contains("unknown");
    for (int router = 0; router < 3; router++) {
      HttpResponse<byte[]> resend = fleet.query(router, PURCHASE, body, ticket);
      assertThat(resend.statusCode()).isNotEqualTo(200);
      assertThat(resend.headers().firstValue(CallerProtocol.EXECUTED_HEADER)).contains("unknown");
    }
    assertThat(fleet.purchasesOf("fan-1")).isEqualTo(1);
  }

  /** Promise 5: the router dies with the purchase; nobody runs it again. */
  @Test
  public void purchaseRunsAtMostOnceWhenItsRouterDies() {
    String body = purchaseBody("fan-2");
    Map<String, String> ticket = ticket(0, body);
    fleet.document().backends().forEach(b -> setFault(b.id(), "never"));
    CompletableFuture<Void> first =
        CompletableFuture.runAsync(() -> fleet.query(0, PURCHASE, body, ticket));
    Fleet.await("the purchase runs", () -> fleet.purchasesOf("fan-2") == 1);
    fleet.process("router-0").kill();
    assertThat(first.handle((done, failure) -> failure != null).join()).isTrue();
    fleet.document().backends().forEach(b -> setFault(b.id(), "none"));
    fleet.startRouter(0);
    fleet.awaitReady(0);
    for (int router = 0; router < 3; router++) {
      assertThat(error(fleet.query(router, PURCHASE, body, ticket))).isEqualTo("ticket-elsewhere");
    }
    assertThat(fleet.purchasesOf("fan-2")).isEqualTo(1);
  }

  /** Promise 5: a router that sleeps through the deadline writes nothing when it wakes. */
  @Test
  public void purchaseIsNotWrittenByARouterThatWakesLate() {
    String body = purchaseBody("fan-3");
    Map<String, String> ticket = ticket(0, body);
    fleet.process("router-0").freeze();
    CompletableFuture<HttpResponse<byte[]>> first =
        CompletableFuture.supplyAsync(() -> fleet.query(0, PURCHASE, body, ticket));
    assertThat(error(fleet.query(1, PURCHASE, body, ticket))).isEqualTo("ticket-elsewhere");
    fleet.process("router-0").wake();
    HttpResponse<byte[]> late = first.join();
    long runs = fleet.purchasesOf("fan-3");
    assertThat(runs).isLessThanOrEqualTo(1);
    boolean saidNo =
        late.headers().firstValue(CallerProtocol.EXECUTED_HEADER).orElseThrow().equals("no");
    assertThat(saidNo && runs > 0).isFalse();
  }

  /** Promise 6: a leaving back end is left alone, though its health hides that it leaves. */
  @Test
  public void leavingBackEndGetsNoNewWork() {
    fleet.control(
        fleet.backendAddress("storefront-5-a"), "{\"lieAboutDrain\":true,\"drain\":true}");
    for (int router = 0; router < 3; router++) {
      awaitDrainKnown(router, "storefront-5-a");
    }
    int before = fleet.executions("storefront-5-a").size();
    for (int i = 0; i < 60; i++) {
      JsonNode answer = search(i % 3, "after drain " + i);
      assertThat(answer.path("coverage").path("fraction").asDouble()).isEqualTo(1.0);
    }
    assertThat(fleet.executions("storefront-5-a")).hasSize(before);
  }

  /** Promise 7: all routers are stopped and replaced one after the other under load. */
  @Test
  public void plannedStopsCutOffNoQuery() {
    AtomicBoolean stop = new AtomicBoolean();
    List<CompletableFuture<List<String>>> callers = new ArrayList<>();
    for (int caller = 0; caller < 6; caller++) {
      int router = caller % 3;
      callers.add(CompletableFuture.supplyAsync(() -> callUntil(stop, router)));
    }
    for (int router = 0; router < 3; router++) {
      fleet.process("router-" + router).terminate();
      assertThat(fleet.process("router-" + router).awaitExit())
          .as(fleet.process("router-" + router).output())
          .isEqualTo(143);
      fleet.startRouter(router);
      fleet.awaitReady(router);
    }
    stop.set(true);
    for (CompletableFuture<List<String>> caller : callers) {
      assertThat(caller.join()).isEmpty();
    }
  }

  /** Promise 8: accepted versions stay, whatever the platform says and whoever restarts. */
  @Test
  public void acceptedConfigurationSurvivesStalePlatformAndReplacedRouters() {
    fleet.control(fleet.platform(), "{\"frozen\":true}");
    fleet.control(fleet.platform(), "{\"frozen\":false}");
    fleet.changeConfiguration();
    awaitVersion(2);
    // The platform goes back to version 1, and every router is replaced in turn.
    String old = document(1);
    fleet.control(fleet.platform(), "{\"configuration\":" + old + "}");
    for (int router = 0; router < 3; router++) {
      fleet.process("router-" + router).kill();
      fleet.startRouter(router);
      fleet.awaitReady(router);
      assertThat(fleet.versionInForce(router)).isEqualTo(2);
      awaitVoting(router);
    }
    fleet.control(fleet.platform(), "{\"down\":true}");
    fleet.process("router-1").freeze();
    fleet.process("router-1").wake();
    fleet.awaitReady(1);
    assertThat(fleet.versionInForce(1)).isEqualTo(2);
  }

  /** Promise 8: a document with faults changes nothing and is shown. */
  @Test
  public void faultyConfigurationIsShownAndTheOneInForceStays() {
    fleet.control(fleet.platform(), "{\"truncated\":true}");
    Fleet.await(
        "the refusal is shown",
        () -> fleet.get(fleet.router(0), "/v1/status").path("refused").isObject());
    assertThat(fleet.versionInForce(0)).isEqualTo(1);
    assertThat(search(0, "still served").path("coverage").path("fraction").asDouble())
        .isEqualTo(1.0);
  }

  private String document(long version) {
    return io.arrowarch.core.config.ConfigurationCodec.toJson(fleet.document())
        .replaceFirst("\"version\":[0-9]+", "\"version\":" + version);
  }

  private void awaitVersion(long version) {
    for (int router = 0; router < 3; router++) {
      int index = router;
      Fleet.await(
          "version " + version + " is accepted at router " + router,
          () -> fleet.versionAccepted(index) == version && fleet.versionInForce(index) == version);
    }
  }

  private void awaitVoting(int router) {
    Fleet.await(
        "router " + router + " votes",
        () -> fleet.get(fleet.router(router), "/v1/status").path("voting").asBoolean());
  }

  private void awaitDrainKnown(int router, String backend) {
    Fleet.await(
        "router " + router + " knows of the drain",
        () -> {
          search(router, "ask");
          for (JsonNode known : fleet.get(fleet.router(router), "/v1/backends")) {
            if (known.path("id").asText().equals(backend)) {
              return known.path("reason").asText().contains("draining");
            }
          }
          return false;
        });
  }

  /**
   * Asks routers again and again, and another one after a refusal, as the refusal says. Returns the
   * requests that were cut off: taken by a router, and not answered.
   */
  private List<String> callUntil(AtomicBoolean stop, int firstRouter) {
    List<String> cutOff = new ArrayList<>();
    int router = firstRouter;
    int number = 0;
    while (!stop.get()) {
      try {
        HttpResponse<byte[]> response =
            fleet.query(router, SEARCH, "{\"query\":{\"n\":" + number++ + "}}", NO_HEADERS);
        Fleet.json(response);
        if (error(response).equals("draining")) {
          router = (router + 1) % 3;
        }
      } catch (UncheckedIOException e) {
        if (e.getCause() instanceof ConnectException) {
          // Between two incarnations nobody listens: no router took the request.
          router = (router + 1) % 3;
        } else {
          cutOff.add(e.toString());
        }
      }
    }
    return cutOff;
  }

  private JsonNode search(int router, String text) {
    HttpResponse<byte[]> response =
        fleet.query(
            router,
            SEARCH,
            "{\"limit\":1000,\"query\":{\"text\":\"" + text + "\"}}",
            Map.of(CallerProtocol.REQUEST_ID_HEADER, "id-" + text.replace(' ', '-')));
    JsonNode answer = Fleet.json(response);
    assertThat(response.statusCode()).as(answer.toString()).isEqualTo(200);
    assertThat(answer.path("requestId").asText()).isEqualTo("id-" + text.replace(' ', '-'));
    for (JsonNode hit : answer.path("hits")) {
      assertThat(hit.path("document").path("query").path("text").asText()).isEqualTo(text);
    }
    return answer;
  }

  private static void checkSnapshot(JsonNode answer) {
    assertThat(answer.path("hits")).isNotEmpty();
    for (JsonNode hit : answer.path("hits")) {
      assertThat(hit.path("document").path("snapshot")).isEqualTo(answer.path("snapshot"));
    }
  }

  private void setFault(String backend, String fault) {
    fleet.control(fleet.backendAddress(backend), "{\"wireFault\":\"" + fault + "\"}");
  }

  private static String purchaseBody(String buyer) {
    return "{\"key\":\"seat-1\",\"query\":{\"buyer\":\"" + buyer + "\"}}";
  }

  /** The ticket that a first try without one is answered with. */
  private Map<String, String> ticket(int router, String body) {
    HttpResponse<byte[]> refused = fleet.query(router, PURCHASE, body, NO_HEADERS);
    assertThat(error(refused)).isEqualTo("ticket-required");
    String ticket = refused.headers().firstValue(CallerProtocol.TICKET_HEADER).orElseThrow();
    return Map.of(CallerProtocol.TICKET_HEADER, ticket);
  }

  private static String error(HttpResponse<byte[]> response) {
    return Fleet.json(response).path("error").path("kind").asText();
  }
}
