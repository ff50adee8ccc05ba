package io.arrowarch.core.memory;

import static org.assertj.core.api.Assertions.assertThat;

import io.arrowarch.core.FakeClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Who gets room, and who loses it, when callers hold as much as they may. */
public final class CallerAccountTest {
  private static final int KILOBYTE = 1 << 10;
  private static final long MAXIMUM_BYTES = 400L * KILOBYTE;
  private static final long LARGE = 100L * KILOBYTE;
  private static final int MAXIMUM_CONNECTIONS = 8;

  private FakeClock clock;
  private CallerAccount account;
  private List<String> evicted;

  @BeforeMethod
  public void create() {
    clock = new FakeClock();
    account = new CallerAccount(clock, MAXIMUM_BYTES, MAXIMUM_CONNECTIONS);
    evicted = new ArrayList<>();
  }

  private CallerAccount.Holder connect(String name) {
    return account.connect(() -> evicted.add(name)).orElseThrow();
  }

  private CallerAccount.Holder uploading(String name) {
    CallerAccount.Holder holder = connect(name);
    holder.awaitCaller();
    assertThat(holder.tryTake(LARGE)).isTrue();
    return holder;
  }

  /** Large bodies took all room, so that a request of an ordinary caller had none. */
  @Test
  public void largeBodiesTakeTheRoomOfSmallOnes() {
    for (int i = 0; i < 3; i++) {
      uploading("large-" + i);
    }
    CallerAccount.Holder one = connect("one-too-many");

    assertThat(one.tryTake(LARGE)).isFalse();
    assertThat(connect("small").tryTake(CallerAccount.SMALL_BYTES)).isTrue();
    assertThat(evicted).isEmpty();
  }

  /** Bodies whose rest never came kept their room for as long as their connections were open. */
  @Test
  public void stalledBodiesKeepTheirRoom() {
    for (int i = 0; i < 3; i++) {
      uploading("stalled-" + i);
    }
    clock.advance(CallerAccount.STALL);

    assertThat(connect("sound").tryTake(LARGE)).isTrue();
    assertThat(evicted).containsExactly("stalled-0");
    assertThat(account.heldBytes()).isEqualTo(3 * LARGE);
  }

  /** A slow upload lost its room to a crowd of stalled ones that came later. */
  @Test
  public void slowUploadThatGoesOnLosesItsRoom() {
    CallerAccount.Holder slow = uploading("slow");
    uploading("stalled-0");
    uploading("stalled-1");
    for (int second = 0; second < 10; second++) {
      clock.advance(CallerAccount.STALL);
      slow.onProgress(CallerAccount.PROGRESS_BYTES);
    }

    assertThat(connect("next").tryTake(LARGE)).isTrue();
    assertThat(connect("next").tryTake(LARGE)).isTrue();
    assertThat(connect("next").tryTake(LARGE)).isFalse();
    assertThat(evicted).containsExactly("stalled-0", "stalled-1");
  }

  /** A byte now and then counted as progress. */
  @Test
  public void singleBytesKeepRoom() {
    CallerAccount.Holder trickling = uploading("trickling");
    uploading("stalled-0");
    uploading("stalled-1");
    for (int i = 0; i < 10; i++) {
      clock.advance(CallerAccount.STALL);
      trickling.onProgress(1);
    }

    assertThat(connect("next").tryTake(LARGE)).isTrue();
    assertThat(evicted).containsExactly("trickling");
  }

  /** A request was ended while servers worked on it. */
  @Test
  public void requestThatServersWorkOnIsClosed() {
    for (int i = 0; i < 3; i++) {
      uploading("whole-" + i).awaitRouter();
    }
    clock.advance(CallerAccount.STALL.multipliedBy(10));

    assertThat(connect("next").tryTake(LARGE)).isFalse();
    assertThat(evicted).isEmpty();
  }

  /** Connections without a request took all descriptors. */
  @Test
  public void restingConnectionsKeepOthersOut() {
    CallerAccount.Holder working = connect("working");
    working.awaitRouter();
    for (int i = 1; i < MAXIMUM_CONNECTIONS; i++) {
      connect("resting-" + i);
      clock.advance(Duration.ofMillis(1));
    }

    assertThat(account.connect(() -> evicted.add("next"))).isPresent();
    assertThat(evicted).containsExactly("resting-1");
    assertThat(account.connections()).isEqualTo(MAXIMUM_CONNECTIONS);
  }

  /** A connection was closed while the router worked for its caller. */
  @Test
  public void workingConnectionGivesItsPlaceToAnother() {
    for (int i = 0; i < MAXIMUM_CONNECTIONS; i++) {
      connect("working-" + i).awaitRouter();
    }

    assertThat(account.connect(() -> evicted.add("next"))).isEmpty();
    assertThat(evicted).isEmpty();
  }

  /** Room of a connection that had ended was given back twice. */
  @Test
  public void closedConnectionGivesBackTwice() {
    CallerAccount.Holder holder = uploading("gone");
    holder.close();
    holder.giveBack(LARGE);
    holder.close();

    assertThat(account.heldBytes()).isZero();
    assertThat(account.connections()).isZero();
    assertThat(holder.tryTake(1)).isFalse();
  }
}
