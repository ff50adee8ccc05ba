package io.arrowarch.cli;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Splitter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** A router whose heap is exhausted, started with the options of the deploy file. */
public final class HeapExhaustionTest {
  private static final Path DEPLOY_FILE = Path.of("../deploy/system.toml");
  private static final String SMALL_HEAP = "-Xmx24m";
  private static final int EXIT_CODE = 3;

  /** Within the limit of a document, and more than the heap. */
  private static final int DOCUMENT_BYTES = 60_000_000;

  private static final int BYTES_PER_WRITE = 64 << 10;

  /** The process went on without its event loop, accepted connections and answered nothing. */
  @Test(timeOut = 120_000)
  public void routerWithoutHeapEndsWithALineAndItsExitCode() throws IOException {
    Path directory = Files.createTempDirectory("heap");
    Path settings = directory.resolve("settings.json");
    try (ServerSocket store = new ServerSocket(0, 0, InetAddress.getLoopbackAddress())) {
      Files.writeString(settings, settings(store.getLocalPort()), UTF_8);
      Thread answers = new Thread(() -> answerWithoutEnd(store), "store");
      answers.setDaemon(true);
      answers.start();
      try (ChildProcess router =
          ChildProcess.start(
              directory,
              "router",
              options(),
              Arrowarch.class,
              "forward",
              "--settings",
              settings.toString())) {
        assertThat(router.awaitExit()).isEqualTo(EXIT_CODE);
        assertThat(router.output()).contains("OutOfMemoryError");
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

  /** Answers each call with a document that does not fit into the heap. */
  private static void answerWithoutEnd(ServerSocket store) {
    String head = "HTTP/1.1 200 OK\r\nContent-Length: " + DOCUMENT_BYTES + "\r\n\r\n";
    while (!store.isClosed()) {
      try (Socket call = store.accept()) {
        int unused = call.getInputStream().read(new byte[BYTES_PER_WRITE]);
        call.getOutputStream().write(head.getBytes(UTF_8));
        for (int sent = 0; sent < DOCUMENT_BYTES; sent += BYTES_PER_WRITE) {
          call.getOutputStream().write(new byte[BYTES_PER_WRITE]);
        }
      } catch (IOException ended) {
        // The router has ended or given the call up, or the test is over.
      }
    }
  }

  private static String settings(int storePort) {
    return """
        {"id":"small","zone":"none","callers":"127.0.0.1:0","readiness":"127.0.0.1:0",
         "peers":"127.0.0.1:0","store":"127.0.0.1:%d",
         "extraAttempts":{"ratio":0,"allowance":0,"window":"10s"}}
        """
        .formatted(storePort);
  }
}
