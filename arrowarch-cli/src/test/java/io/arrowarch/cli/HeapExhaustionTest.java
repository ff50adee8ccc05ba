package io.arrowarch.cli;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Splitter;
import io.arrowarch.emulator.FreeAddresses;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.Test;

/** A router whose heap is exhausted, started with the options of the deploy file. */
public final class HeapExhaustionTest {
  private static final Path DEPLOY_FILE = Path.of("../deploy/system.toml");
  private static final String SMALL_HEAP = "-Xmx24m";
  private static final int EXIT_CODE = 3;
  private static final int UPLOADS = 400;
  private static final int BYTES_PER_UPLOAD = 200_000;
  private static final Duration POLL = Duration.ofMillis(50);

  /** The process went on without its event loop, accepted connections and answered nothing. */
  @Test(timeOut = 120_000)
  public void routerWithoutHeapEndsWithALineAndItsExitCode() throws IOException {
    Path directory = Files.createTempDirectory("heap");
    String callers;
    try (FreeAddresses free = new FreeAddresses()) {
      callers = free.get();
    }
    Path settings = directory.resolve("settings.json");
    Files.writeString(settings, settings(callers), UTF_8);
    List<Socket> uploads = new ArrayList<>();
    try (ChildProcess router =
        ChildProcess.start(
            directory,
            "router",
            options(),
            Arrowarch.class,
            "forward",
            "--settings",
            settings.toString())) {
      while (router.isAlive() && uploads.size() < UPLOADS) {
        beginUpload(callers).ifPresentOrElse(uploads::add, HeapExhaustionTest::pause);
      }

      assertThat(router.awaitExit()).isEqualTo(EXIT_CODE);
      assertThat(router.output()).contains("OutOfMemoryError");
    } finally {
      for (Socket upload : uploads) {
        upload.close();
      }
    }
  }

  /** The options by which the router is deployed, with a small heap. */
  private static List<String> options() throws IOException {
    List<String> options = new ArrayList<>(List.of(SMALL_HEAP));
    String line =
        Files.readAllLines(DEPLOY_FILE).stream()
            .filter(each -> each.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    for (String word : Splitter.on(' ').split(line)) {
      boolean sizesHeap = word.startsWith("-Xm");
      boolean usesArchive = word.startsWith("-XX:SharedArchiveFile") || word.startsWith("-Xshare");
      if (word.startsWith("-X") && !sizesHeap && !usesArchive) {
        options.add(word);
      }
    }
    return options;
  }

  /** Sends most of a body whose rest never comes; empty if the router cannot be reached. */
  private static Optional<Socket> beginUpload(String address) {
    List<String> parts = Splitter.on(':').splitToList(address);
    try {
      Socket socket = new Socket(parts.get(0), Integer.parseInt(parts.get(1)));
      String head = "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: " + 2 * BYTES_PER_UPLOAD;
      socket.getOutputStream().write((head + "\r\n\r\n").getBytes(UTF_8));
      socket.getOutputStream().write(new byte[BYTES_PER_UPLOAD]);
      return Optional.of(socket);
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  private static void pause() {
    LockSupport.parkNanos(POLL.toNanos());
  }

  private static String settings(String callers) {
    return """
        {"id":"small","zone":"none","callers":"%s","readiness":"127.0.0.1:0","peers":"127.0.0.1:0",
         "store":"127.0.0.1:9","extraAttempts":{"ratio":0,"allowance":0,"window":"10s"}}
        """
        .formatted(callers);
  }
}
