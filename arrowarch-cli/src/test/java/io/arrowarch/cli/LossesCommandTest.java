package io.arrowarch.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableMap;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

public final class LossesCommandTest {
  private static final String LOG =
      """
      12.5 edge-1 {"time":"2026-01-01T00:00:12.5Z","node":"edge-1","event":"request",\
      "detail":{"requestId":"a","route":"r","outcome":"partial","reason":"the objective is due",\
      "missing":[{"service":"s","state":"open","sent":1,"open":["i-1 220"],"hedgeDenied":"no budget"},\
      {"service":"t","state":"open","sent":1,"open":["i-2 210"],"hedgeDenied":"no budget"}]}}
      12.6 edge-2 {"time":"2026-01-01T00:00:12.6Z","node":"edge-2","event":"request",\
      "detail":{"requestId":"b","route":"r","outcome":"failed","error":"coverage-too-low",\
      "reason":"too many"}}
      14.6 edge-2 {"time":"2026-01-01T00:00:14.6Z","node":"edge-2","event":"request",\
      "detail":{"requestId":"c","route":"r","outcome":"failed","error":"coverage-too-low",\
      "reason":"too many"}}
      14.1 edge-2 {"time":"2026-01-01T00:00:14.1Z","node":"edge-2","event":"attempt-failed",\
      "detail":{"requestId":"c","outcome":"silent","next":"retry"}}
      not a line of the log
      """;

  @Test
  public void countsBySecondAndCause() throws IOException {
    List<String> table = losses(LOG).lines().toList();

    assertThat(table).contains("  second     failed    partial");
    assertThat(table).contains("       0          1          1", "       2          1          0");
    assertThat(table).contains("       2  r | failed | coverage-too-low | too many");
    assertThat(table).contains("       2  partial | open | sent 1 | no budget");
    assertThat(table).contains("       1  silent | retry");
  }

  @Test
  public void saysThatThereIsNothing() throws IOException {
    assertThat(losses("nothing\n")).isEmpty();
  }

  private static String losses(String text) throws IOException {
    Path log = Files.createTempFile("losses", ".log");
    Files.writeString(log, text);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    CommandLine line = new CommandLine("arrowarch", ImmutableMap.of("losses", new LossesCommand()));
    line.run(
        new String[] {"losses", log.toString()},
        new PrintStream(out, true, StandardCharsets.UTF_8),
        new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
    return out.toString(StandardCharsets.UTF_8);
  }
}
