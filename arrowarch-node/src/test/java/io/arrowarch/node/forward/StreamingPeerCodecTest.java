package io.arrowarch.node.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.arrowarch.core.config.ConfigurationId;
import io.arrowarch.core.peer.DrainMark;
import io.arrowarch.core.peer.MemberRecord;
import io.arrowarch.core.peer.PeerBody;
import io.arrowarch.core.peer.PeerMessage;
import io.arrowarch.core.peer.StoreNews;
import io.arrowarch.core.store.StoreRevision;
import io.arrowarch.node.DataBindingPeerCodec;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class StreamingPeerCodecTest {
  private static final MemberRecord SENDER =
      new MemberRecord("r-1", "z", "10.0.0.1:7400", 0.36, 17, 3, MemberRecord.State.ALIVE);
  private static final PeerBody.News NEWS =
      new PeerBody.News(
          ConfigurationId.NONE,
          ConfigurationId.NONE,
          new StoreNews(new StoreRevision(2, 70), new StoreRevision(1, 71), StoreNews.NEVER, 9),
          true,
          List.of(SENDER, SENDER.withState(MemberRecord.State.LEAVING)),
          List.of(new DrainMark("i-1", "i-1")));

  private final StreamingPeerCodec codec = new StreamingPeerCodec();

  @DataProvider
  public Object[] bodies() {
    return new Object[] {
      new PeerBody.Ping(5, true, NEWS),
      new PeerBody.Ack(6, NEWS),
      new PeerBody.PingRequest(7, "10.0.0.2:7400"),
      new PeerBody.TenantUse(8, List.of(new PeerBody.Use("t \"1\"", 9, 2)), "t-2"),
      new PeerBody.TenantVerdict(9, false, 170, 20, List.of(new PeerBody.Limited("t", 2_000))),
      new PeerBody.TenantNotice(List.of(new PeerBody.Limited("t", 2_000)), true),
      new PeerBody.SuspectNotice(
          List.of(new PeerBody.SuspectReport("00ff", "ends", List.of("i-1", "i-2"), 40))),
      new PeerBody.SuspectQuestion()
    };
  }

  @Test(dataProvider = "bodies")
  public void whatIsWrittenIsReadBack(PeerBody body) {
    PeerMessage message = new PeerMessage(SENDER, body);
    assertThat(codec.decode(codec.encode(message)).get()).isEqualTo(message);
  }

  @Test(dataProvider = "bodies")
  public void itReadsWhatDataBindingWrites(PeerBody body) {
    PeerMessage message = new PeerMessage(SENDER, body);
    assertThat(codec.decode(new DataBindingPeerCodec().encode(message)).get()).isEqualTo(message);
  }

  @Test
  public void whatIsNoMessageIsAFailure() {
    for (String text : List.of("", "{}", "[1]", "{\"sender\":{},\"body\":{}}", "{\"a\":1}x")) {
      assertThat(codec.decode(text.getBytes(StandardCharsets.UTF_8)).isFailure()).isTrue();
    }
    byte[] ping = codec.encode(new PeerMessage(SENDER, new PeerBody.Ping(5, true, NEWS)));
    String other = new String(ping, StandardCharsets.UTF_8).replace("\"ping\"", "\"pong\"");
    assertThat(codec.decode(other.getBytes(StandardCharsets.UTF_8)).isFailure()).isTrue();
  }
}
