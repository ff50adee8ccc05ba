package io.arrowarch.node.forward;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.forward.Caller;
import io.arrowarch.core.forward.DelegateReply;
import io.arrowarch.core.forward.DelegatedSearch;
import io.arrowarch.core.forward.ForwardedAnswer;
import io.arrowarch.core.forward.ForwardedRequest;
import io.arrowarch.core.forward.HeaderField;
import io.arrowarch.core.forward.Payload;
import io.arrowarch.core.route.RouteTarget;
import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class DelegationCodecTest {
  private static final Duration TIME_LEFT = Duration.ofMillis(1_234);
  private static final DelegatedSearch SEARCH =
      new DelegatedSearch(
          new ForwardedRequest(
              "id-1",
              Optional.of(TIME_LEFT),
              "POST",
              "Host.example:80",
              "/a/%2F?q=\"x\"&y=\u00e9",
              Caller.ANONYMOUS,
              ImmutableList.of(new HeaderField("Accept", "a, b"), new HeaderField("Accept", "")),
              Payload.of(new byte[] {0, -1, 7})),
          17,
          new RouteTarget.AllShards(ImmutableList.of("s1", "s2"), 4, 0.5),
          TIME_LEFT,
          Duration.ofMillis(-5),
          true);

  @Test
  public void aSearchComesOutAsItWentIn() {
    assertThat(DelegationCodec.decodeSearch(DelegationCodec.encode(5, SEARCH)).get())
        .isEqualTo(SEARCH);
  }

  @DataProvider
  public Object[][] replies() {
    return new Object[][] {
      {
        new DelegateReply.Answered(
            new ForwardedAnswer.Merged(
                ImmutableList.of("a", "b"), 3, Payload.of(new byte[] {1, -128, 3})),
            Duration.ofNanos(1_234_000),
            7)
      },
      {
        new DelegateReply.Answered(
            new ForwardedAnswer.Merged(ImmutableList.of(), 2, Payload.EMPTY), Duration.ZERO, 0)
      },
      {new DelegateReply.Declined("the \"process\" has just started")},
      {
        new DelegateReply.Failed(
            new QueryError(
                ErrorKind.COVERAGE_TOO_LOW,
                "detail",
                Executed.UNKNOWN,
                Optional.of(Duration.ofMillis(150))))
      }
    };
  }

  @Test(dataProvider = "replies")
  public void aReplyComesOutAsItWentIn(DelegateReply reply) {
    assertThat(DelegationCodec.decodeReply(5, DelegationCodec.encode(Optional.of(5L), reply)).get())
        .isEqualTo(reply);
    assertThat(
            DelegationCodec.decodeReply(5, DelegationCodec.encode(Optional.empty(), reply)).get())
        .isEqualTo(reply);
  }

  /** The records of one search are not merged into the answer to another. */
  @Test(dataProvider = "replies")
  public void aReplyToAnotherSearchIsRefused(DelegateReply reply) {
    byte[] encoded = DelegationCodec.encode(Optional.of(4L), reply);

    assertThat(DelegationCodec.decodeReply(5, encoded).isFailure()).isTrue();
  }

  /** The number is repeated as it came; a search of a router that gives none is understood. */
  @Test
  public void aSearchHasItsNumberOrNone() {
    byte[] encoded = DelegationCodec.encode(5, SEARCH);
    String withoutNumber = new String(encoded, UTF_8).replace("\"number\":5,", "");

    assertThat(DelegationCodec.decodeNumber(encoded).get()).contains(5L);
    assertThat(DelegationCodec.decodeNumber(withoutNumber.getBytes(UTF_8)).get()).isEmpty();
    assertThat(DelegationCodec.decodeSearch(withoutNumber.getBytes(UTF_8)).get()).isEqualTo(SEARCH);
  }

  @DataProvider
  public Object[][] malformed() {
    return new Object[][] {
      {""},
      {"{}"},
      {"[]"},
      {"{\"declined\":"},
      {"{\"took\":1,\"inProgress\":1,\"missingParts\":1,\"signatures\":[],\"records\":\"*\"}"},
      {"{\"failed\":\"NO_SUCH_KIND\",\"detail\":\"\",\"retryAfter\":0}"},
    };
  }

  @Test(dataProvider = "malformed")
  public void whatIsNoMessageIsRefused(String text) {
    assertThat(DelegationCodec.decodeReply(5, text.getBytes(UTF_8)).isFailure()).isTrue();
    assertThat(DelegationCodec.decodeSearch(text.getBytes(UTF_8)).isFailure()).isTrue();
  }

  @Test
  public void aHeaderWithoutValueIsRefused() {
    String text = new String(DelegationCodec.encode(5, SEARCH), UTF_8).replace(",\"\"]", "]");

    assertThat(DelegationCodec.decodeSearch(text.getBytes(UTF_8)).isFailure()).isTrue();
  }
}
