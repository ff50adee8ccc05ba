package io.arrowarch.cli;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Splitter;
import io.arrowarch.emulator.FreeAddresses;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.Test;

/** SIGTERM to a router that has just begun to start. */
public final class StopWhileStartingTest {
  private static final int ROUNDS = 3;
  private static final Duration POLL = Duration.ofMillis(1);
  private static final String REQUEST =
      "GET /a/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nX-Deadline-Ms: 3000\r\n\r\n";

  /** The signal was handled only once all ports were open; a request before that was cut off. */
  @Test(timeOut = 120_000)
  public void requestReadBeforeTheSignalIsAnswered() throws IOException {
    for (int round = 0; round < ROUNDS; round++) {
      assertThat(answerOfStoppedRouter()).startsWith("HTTP/1.1 503 ");
    }
  }

  private static String answerOfStoppedRouter() throws IOException {
    Path directory = Files.createTempDirectory("stop");
    Path settings = directory.resolve("settings.json");
    String callers;
    try (FreeAddresses free = new FreeAddresses()) {
      callers = free.get();
    }
    Files.writeString(settings, settings(callers), UTF_8);
    try (ChildProcess router =
            ChildProcess.start(
                directory,
                "router",
                Arrowarch.class,
                "forward",
                "--settings",
                settings.toString());
        Socket caller = connect(callers)) {
      caller.getOutputStream().write(REQUEST.getBytes(UTF_8));
      router.terminate();
      return new String(caller.getInputStream().readAllBytes(), UTF_8);
    }
  }

  private static Socket connect(String address) throws IOException {
    List<String> parts = Splitter.on(':').splitToList(address);
    while (true) {
      try {
        return new Socket(parts.get(0), Integer.parseInt(parts.get(1)));
      } catch (ConnectException notOpenYet) {
        LockSupport.parkNanos(POLL.toNanos());
      }
    }
  }

  private static String settings(String callers) {
    return """
        {"id":"early","zone":"none","callers":"%s","readiness":"127.0.0.1:0","peers":"127.0.0.1:0",
         "store":"127.0.0.1:9","stopGrace":"2s",
         "extraAttempts":{"ratio":0,"allowance":0,"window":"10s"}}
        """
        .formatted(callers);
  }
}
