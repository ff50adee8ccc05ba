package io.arrowarch.node.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.feed.FeedAnswer;
import io.arrowarch.core.feed.FeedFailure;
import io.arrowarch.core.forward.ForwardingRouter;
import io.arrowarch.core.forward.RouterGroup;
import io.arrowarch.core.store.StoreRevision;
import io.arrowarch.core.time.TimerQueue;
import io.arrowarch.node.EventLoopDriver;
import io.arrowarch.node.SocketAddressSetting;
import io.arrowarch.node.SurplusAnswerStandIn;
import io.arrowarch.node.SurplusAnswerStandIn.Exchange;
import io.arrowarch.node.SurplusAnswerStandIn.Moment;
import io.arrowarch.node.SystemClock;
import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The store answers a call a second time and stops within that answer. A decoder takes the
 * unfinished head and the next answer for one message: status, era and age of the first, body of
 * the second.
 */
public final class TornStoreAnswerTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final List<String> FIRST_FIELDS = List.of("era: 1", "Own: a b: c");
  private static final List<String> NEXT_FIELDS = List.of("era: 2");
  private static final String LISTING =
      SurplusAnswerStandIn.answer("200 OK", FIRST_FIELDS, "{\"first\"}");
  private static final String CHANGES =
      SurplusAnswerStandIn.answer("200 OK", NEXT_FIELDS, "{\"next\"}");
  private static final String GONE = SurplusAnswerStandIn.answer("410 Gone", NEXT_FIELDS, "");

  private final RecordingCodec codec = new RecordingCodec();
  private Vertx vertx;
  private Context context;
  private SurplusAnswerStandIn store;
  private CompletableFuture<Void> ended;

  @BeforeMethod
  public void start() {
    vertx = Vertx.vertx();
    context = vertx.getOrCreateContext();
    store = new SurplusAnswerStandIn(vertx);
    store.endConnectionsAfterNext();
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @DataProvider
  public Object[][] surplusAndNextAnswers() {
    return new Object[][] {
      {LISTING, CHANGES, "200 2 {\"next\"}"},
      {LISTING, GONE, "410 2 "},
      {SurplusAnswerStandIn.answer("410 Gone", FIRST_FIELDS, ""), CHANGES, "200 2 {\"next\"}"},
      {
        SurplusAnswerStandIn.answer("429 Too Many Requests", List.of("Own: x", "era: 1"), ""),
        CHANGES,
        "200 2 {\"next\"}"
      },
      {
        "HTTP/1.1 503 Service Unavailable\r\nera: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        CHANGES,
        "200 2 {\"next\"}"
      },
    };
  }

  /** A change is missed, or the store is listed anew, by a status that another answer had. */
  @Test(dataProvider = "surplusAndNextAnswers")
  public void answerBehindATornOneIsReadByItsOwnHead(String surplus, String next, String outcome) {
    List<String> harmful = new ArrayList<>();
    for (Moment moment : Moment.values()) {
      for (int cut = 1; cut < surplus.length(); cut++) {
        Optional<String> seen = outcomeOfNext(moment, surplus.substring(0, cut), next);
        if (seen.isPresent() && !seen.get().equals(outcome)) {
          harmful.add("%s, cut %d: %s".formatted(moment, cut, seen.get()));
        }
      }
    }
    assertThat(harmful).isEmpty();
  }

  /** An answer that ends with its connection before it is whole is no answer. */
  @Test
  public void answerCutOffByTheEndOfItsConnectionIsNoAnswer() {
    List<String> harmful = new ArrayList<>();
    List<String> answers =
        List.of(
            CHANGES,
            GONE,
            SurplusAnswerStandIn.inChunks(NEXT_FIELDS, "{\"next\"}"),
            "HTTP/1.1 200 OK\r\nera: 2\r\n\r\n{\"next\"}");
    for (String answer : answers) {
      for (int cut = 0; cut < answer.length(); cut++) {
        Optional<String> seen =
            outcomeOfNext(Moment.WITH_NEXT_ANSWER, "", answer.substring(0, cut));
        if (seen.isPresent()) {
          harmful.add("cut %d of %s: %s".formatted(cut, answer, seen.get()));
        }
      }
    }
    assertThat(harmful).isEmpty();
  }

  /** A compressed listing of another router that is cut at any byte is no listing. */
  @Test
  public void compressedListingCutAtAnyByteIsNoListing() {
    MultiMap fields =
        MultiMap.caseInsensitiveMultiMap()
            .add(HttpHeaders.CONTENT_ENCODING, CompressedListing.ENCODING);
    byte[] listing = "{\"items\":[],\"At\":12}".repeat(200).getBytes(StandardCharsets.UTF_8);
    byte[] whole = CompressedListing.write(listing);

    assertThat(CompressedListing.read(fields, whole).get()).isEqualTo(listing);
    for (int cut = 0; cut < whole.length; cut++) {
      byte[] part = Arrays.copyOf(whole, cut);
      assertThat(CompressedListing.read(fields, part).isFailure()).as("cut %d", cut).isTrue();
    }
  }

  @Test
  public void withoutSurplusBytesBothAnswersAreRead() {
    assertThat(outcomeOfNext(Moment.WITH_NEXT_ANSWER, "", CHANGES)).contains("200 2 {\"next\"}");
    assertThat(outcomeOfNext(Moment.WITH_NEXT_ANSWER, "", GONE)).contains("410 2 ");
  }

  /** What the second call was told; empty when it failed. */
  private Optional<String> outcomeOfNext(Moment moment, String surplus, String next) {
    store.begin(new Exchange(moment, LISTING, surplus, next));
    StoreClient client = createClient();
    call(() -> client.list(1, Optional.empty(), TIMEOUT));
    assertThat(codec.taken).as("%s %s", moment, surplus).contains("200 1 {\"first\"}");
    call(() -> client.watch(2, StoreRevision.NONE, TIMEOUT, TIMEOUT));
    return codec.taken;
  }

  private void call(Runnable task) {
    codec.taken = Optional.empty();
    ended = new CompletableFuture<>();
    context.runOnContext(ignored -> task.run());
    ended.join();
  }

  private StoreClient createClient() {
    ForwardingRouter router = router();
    return new StoreClient(
        vertx,
        new EventLoopDriver(vertx, context, () -> ended.complete(null), OptionalLong::empty),
        router::follower,
        codec,
        new SocketAddressSetting("127.0.0.1", store.port()),
        () -> {},
        new MalformedResponses(EventLog.NONE));
  }

  private static ForwardingRouter router() {
    return new ForwardingRouter(
        IdleOptions.OPTIONS,
        new SystemClock(),
        new TimerQueue(),
        Runnable::run,
        new Random(1),
        new IdleOptions.NoServers(),
        new ForwardWarmUp.SilentFeed(),
        EventLog.NONE,
        RouterGroup.ofCount(1));
  }

  /** Keeps the last answer that is a refusal or has a whole body. */
  private static final class RecordingCodec implements FeedCodec {
    private volatile Optional<String> taken = Optional.empty();

    @Override
    public String listTarget(Optional<String> afterKey) {
      return "/list";
    }

    @Override
    public String watchTarget(StoreRevision after, Duration longestWait) {
      return "/watch";
    }

    @Override
    public byte[] encodeListing(FeedAnswer listing) {
      return new byte[0];
    }

    @Override
    public byte[] encodeChanges(FeedAnswer changes) {
      return new byte[0];
    }

    @Override
    public String eraHeader() {
      return "era";
    }

    @Override
    public Either<FeedFailure, FeedAnswer> decode(
        Question question, int status, Optional<String> era, byte[] body) {
      String text = new String(body, StandardCharsets.ISO_8859_1);
      boolean whole = text.startsWith("{\"") && text.endsWith("\"}");
      if (status != 200 || whole) {
        taken = Optional.of(status + " " + era.orElse("") + " " + text);
      }
      return Either.left(FeedFailure.NO_ANSWER);
    }
  }
}
