package io.arrowarch.node.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.forward.Caller;
import io.arrowarch.core.forward.DelegateFailure;
import io.arrowarch.core.forward.DelegateOutcomes;
import io.arrowarch.core.forward.DelegateReply;
import io.arrowarch.core.forward.DelegatedSearch;
import io.arrowarch.core.forward.ForwardedRequest;
import io.arrowarch.core.forward.Payload;
import io.arrowarch.core.peer.LiveRouter;
import io.arrowarch.core.route.RouteTarget;
import io.arrowarch.node.EventLoopDriver;
import io.arrowarch.node.SurplusAnswerStandIn;
import io.arrowarch.node.SurplusAnswerStandIn.Exchange;
import io.arrowarch.node.SurplusAnswerStandIn.Moment;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A router replies to a search a second time, wholly or in part, and the bytes come where the reply
 * to the next search is due. Another search's records would be merged into an answer.
 */
public final class SurplusDelegateReplyTest {
  private static final Duration TIME_LEFT = Duration.ofSeconds(5);
  private static final long LONGEST_WAIT_SECONDS = 20;
  private static final String FIRST_RECORDS =
      "{%s\"took\":1,\"inProgress\":1,\"missingParts\":0,\"signatures\":[\"first\"],"
          + "\"records\":\"AAEC\"}";
  private static final DelegatedSearch SEARCH =
      new DelegatedSearch(
          new ForwardedRequest(
              "id",
              Optional.of(TIME_LEFT),
              "GET",
              "h",
              "/",
              Caller.ANONYMOUS,
              ImmutableList.of(),
              Payload.EMPTY),
          1,
          new RouteTarget.AllShards(ImmutableList.of("s"), 4, 0.5),
          TIME_LEFT,
          TIME_LEFT,
          false);

  private final RecordingOutcomes outcomes = new RecordingOutcomes();
  private Vertx vertx;
  private Context context;
  private SurplusAnswerStandIn router;
  private DelegateClient client;
  private long incarnation;

  @BeforeMethod
  public void start() {
    vertx = Vertx.vertx();
    context = vertx.getOrCreateContext();
    router = new SurplusAnswerStandIn(vertx);
    router.endConnectionsAfterNext();
    client =
        new DelegateClient(
            vertx,
            new EventLoopDriver(vertx, context, () -> {}, OptionalLong::empty),
            () -> outcomes,
            new MalformedResponses(EventLog.NONE));
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private static String reply(String json) {
    return SurplusAnswerStandIn.answer("200 OK", List.of("Own: a b: c"), json);
  }

  private static String answered(long number) {
    return reply(FIRST_RECORDS.formatted("\"number\":" + number + ","));
  }

  private static String declined(long number) {
    return reply("{\"number\":" + number + ",\"declined\":\"next\"}");
  }

  @DataProvider
  public Object[][] surplusReplies() {
    return new Object[][] {
      {answered(1)},
      {reply("{\"number\":1,\"declined\":\"first\"}")},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nOwn: x\r\n\r\n3\r\n{\"n\r\n0\r\n\r\n"},
      {"HTTP/1.1 400 Bad Request\r\nOwn: x\r\nContent-Length: 0\r\n\r\n"},
    };
  }

  /** A reply that is cut at any byte changes nothing of the next one. */
  @Test(dataProvider = "surplusReplies")
  public void replyBehindATornOneIsItsOwn(String surplus) {
    List<String> harmful = new ArrayList<>();
    for (Moment moment : Moment.values()) {
      for (int cut = 1; cut < surplus.length(); cut++) {
        String seen = outcomeOfNext(moment, surplus.substring(0, cut), declined(2));
        if (!seen.equals("Declined[reason=next]") && !seen.equals("BROKEN")) {
          harmful.add("%s, cut %d: %s".formatted(moment, cut, seen));
        }
      }
    }
    assertThat(harmful).isEmpty();
  }

  /** A whole reply to an earlier search is not taken for the reply to the next one. */
  @Test
  public void replyToAnEarlierSearchIsNotTakenForTheNextOne() {
    List<String> harmful = new ArrayList<>();
    for (Moment moment : Moment.values()) {
      String seen = outcomeOfNext(moment, answered(1), declined(2));
      if (!seen.equals("Declined[reason=next]") && !seen.equals("BROKEN")) {
        harmful.add(moment + ": " + seen);
      }
    }
    assertThat(harmful).isEmpty();
  }

  /** Without surplus bytes each reply is believed, with its number or, of an older router, none. */
  @Test
  public void replyWithItsNumberOrWithoutOneIsBelieved() {
    assertThat(outcomeOfNext(Moment.WITH_NEXT_ANSWER, "", declined(2)))
        .isEqualTo("Declined[reason=next]");
    assertThat(outcomeOfNext(Moment.WITH_NEXT_ANSWER, "", reply("{\"declined\":\"next\"}")))
        .isEqualTo("Declined[reason=next]");
    assertThat(outcomeOfNext(Moment.WITH_NEXT_ANSWER, "", reply(FIRST_RECORDS.formatted(""))))
        .startsWith("Answered");
  }

  /** A reply cut off by the end of its connection is broken, wherever it is cut. */
  @Test
  public void replyCutOffByTheEndOfItsConnectionIsBroken() {
    List<String> harmful = new ArrayList<>();
    List<String> replies =
        List.of(
            answered(2),
            declined(2),
            "HTTP/1.1 200 OK\r\n\r\n{\"number\":2,\"declined\":\"next\"}",
            SurplusAnswerStandIn.inChunks(List.of(), "{\"number\":2,\"declined\":\"next\"}"));
    for (String reply : replies) {
      for (int cut = 0; cut < reply.length(); cut++) {
        String seen = outcomeOfNext(Moment.WITH_NEXT_ANSWER, "", reply.substring(0, cut));
        if (!seen.equals("BROKEN")) {
          harmful.add("cut %d: %s".formatted(cut, seen));
        }
      }
    }
    assertThat(harmful).isEmpty();
  }

  /** How the second search of a new connection ended. */
  private String outcomeOfNext(Moment moment, String surplus, String next) {
    router.begin(new Exchange(moment, answered(1), surplus, next));
    incarnation++;
    assertThat(send(1)).startsWith("Answered");
    return send(2);
  }

  private String send(long number) {
    LiveRouter delegate = new LiveRouter("b", incarnation, "zone-b", router.address(), 1);
    outcomes.outcome = new CompletableFuture<>();
    context.runOnContext(ignored -> client.send(number, delegate, SEARCH));
    return outcomes.outcome.orTimeout(LONGEST_WAIT_SECONDS, TimeUnit.SECONDS).join();
  }

  private static final class RecordingOutcomes implements DelegateOutcomes {
    private volatile CompletableFuture<String> outcome;

    @Override
    public void onDelegateReply(long number, DelegateReply reply) {
      outcome.complete(reply.toString());
    }

    @Override
    public void onDelegateFailure(long number, DelegateFailure failure) {
      outcome.complete(failure.name());
    }
  }
}
