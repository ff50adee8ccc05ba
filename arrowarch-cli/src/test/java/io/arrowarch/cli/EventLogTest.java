package io.arrowarch.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.arrowarch.core.event.RouterEvent;
import io.arrowarch.core.wire.WireCodec;
import io.arrowarch.node.forward.JsonEventLog;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The event log of a process: what is written, what is left out, and that nobody ever waits. */
public final class EventLogTest {
  private static final int POLL_NANOS = 10_000_000;

  private PrintStream standardOutput;

  @BeforeMethod
  public void remember() {
    standardOutput = System.out;
  }

  @AfterMethod(alwaysRun = true)
  public void restore() {
    System.setOut(standardOutput);
    Logging.configure(LogFormat.TEXT);
  }

  @Test(timeOut = 120_000)
  public void aBlockedStandardOutputHoldsNobodyUp() {
    CountDownLatch blocked = new CountDownLatch(1);
    System.setOut(new PrintStream(new BlockedStream(blocked), true, StandardCharsets.UTF_8));
    JsonEventLog log = opened();
    for (int i = 0; i < 20_000; i++) {
      log.log(failure("id-" + i));
    }
    // Getting here is the test: the stream has taken no line.
    assertThat(blocked.getCount()).isEqualTo(1);
    blocked.countDown();
  }

  @Test(timeOut = 120_000)
  public void failuresAreWrittenAndMostSuccessesAreNot() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
    JsonEventLog log = opened();
    for (int i = 0; i < 640; i++) {
      log.log(success("id-" + i));
    }
    for (int i = 0; i < 20; i++) {
      log.log(failure("failed-" + i));
    }
    while (lines(out, "failed-19").isEmpty()) {
      LockSupport.parkNanos(POLL_NANOS);
    }

    assertThat(lines(out, "failed-")).hasSize(20);
    assertThat(lines(out, "\"answered\"")).hasSizeBetween(1, 40);
    assertThat(lines(out, ""))
        .allSatisfy(
            line ->
                assertThat(
                        WireCodec.decodeTree(line.getBytes(StandardCharsets.UTF_8))
                            .get()
                            .path("event")
                            .asText())
                    .isEqualTo("request"));
  }

  @Test(timeOut = 120_000)
  public void whatCameBeforeTheLogWasOpenIsWrittenInItsOrder() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
    JsonEventLog log = new JsonEventLog("node", Logging::configureEvents);
    for (int i = 0; i < 3; i++) {
      log.log(failure("early-" + i));
    }
    log.prepare();
    assertThat(log.open(2)).isFalse();
    log.log(failure("early-3"));
    assertThat(log.open(2)).isTrue();
    log.log(failure("late"));
    while (lines(out, "late").isEmpty()) {
      LockSupport.parkNanos(POLL_NANOS);
    }

    List<String> written = lines(out, "early-");
    assertThat(written).hasSize(4);
    for (int i = 0; i < 4; i++) {
      assertThat(written.get(i)).contains("early-" + i);
    }
  }

  private static JsonEventLog opened() {
    JsonEventLog log = new JsonEventLog("node", Logging::configureEvents);
    log.prepare();
    assertThat(log.open(1)).isTrue();
    return log;
  }

  private static RouterEvent success(String id) {
    return request(id, "answered", "");
  }

  private static RouterEvent failure(String id) {
    return request(id, "failed", "deadline-exceeded");
  }

  private static RouterEvent request(String id, String outcome, String error) {
    return new RouterEvent.RequestEnded(
        id, "", "route", 1, outcome, error, "reason", 1, 1, 1, 0, 1.0, 1.0, -1.0, 0.0, List.of());
  }

  private static List<String> lines(ByteArrayOutputStream out, String part) {
    return out.toString(StandardCharsets.UTF_8)
        .lines()
        .filter(line -> line.contains(part))
        .toList();
  }

  /** Takes nothing until it is let go. */
  private static final class BlockedStream extends OutputStream {
    private final CountDownLatch blocked;

    BlockedStream(CountDownLatch blocked) {
      this.blocked = blocked;
    }

    @Override
    public void write(int b) throws IOException {
      try {
        blocked.await();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
  }
}
