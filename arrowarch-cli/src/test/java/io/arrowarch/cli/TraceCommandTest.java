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

public final class TraceCommandTest {
  private static final String LOG =
      """
      12.5 edge-1 {"time":"2026-01-01T00:00:12.5Z","node":"edge-1","event":"request",\
      "detail":{"requestId":"abc","outcome":"partial","partsIn":1,"partsAsked":2,\
      "missing":[{"service":"s","state":"open","sent":1,"open":["i-1 220"]}]}}
      12.3 edge-1 {"time":"2026-01-01T00:00:12.3Z","node":"edge-1","event":"sent",\
      "detail":{"requestId":"abc","purpose":"hedge","server":"i-2"}}
      12.0 edge-1 {"time":"2026-01-01T00:00:12Z","node":"edge-1","event":"servers",\
      "detail":{"status":"draining","servers":["i-5 s","i-1 s"]}}
      12.0 edge-1 {"time":"2026-01-01T00:00:12Z","node":"edge-1","event":"servers",\
      "detail":{"status":"draining","servers":["i-7 s"]}}
      2.0 edge-1 {"time":"2026-01-01T00:00:02Z","node":"edge-1","event":"store",\
      "detail":{"state":"lost"}}
      12.1 edge-1 {"time":"2026-01-01T00:00:12.1Z","node":"edge-1","event":"store",\
      "detail":{"state":"lost"}}
      12.1 edge-2 {"time":"2026-01-01T00:00:12.1Z","node":"edge-2","event":"store",\
      "detail":{"state":"lost"}}
      not a line of the log
      """;

  @Test
  public void tellsTheStoryInOrderWithTheBeliefsThatMattered() throws IOException {
    List<String> story = trace("abc").lines().toList();

    assertThat(story).hasSize(4);
    assertThat(story.get(0))
        .contains("edge-1 servers status=draining servers=[\"i-5 s\",\"i-1 s\"]");
    assertThat(story.get(1)).contains("edge-1 store state=lost");
    assertThat(story.get(2)).contains("sent requestId=abc purpose=hedge server=i-2");
    assertThat(story.get(3)).contains("request requestId=abc outcome=partial");
  }

  @Test
  public void saysThatThereIsNothing() throws IOException {
    assertThat(trace("unknown")).isEmpty();
  }

  private static String trace(String requestId) throws IOException {
    Path log = Files.createTempFile("trace", ".log");
    Files.writeString(log, LOG);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    CommandLine line = new CommandLine("arrowarch", ImmutableMap.of("trace", new TraceCommand()));
    line.run(
        new String[] {"trace", requestId, log.toString()},
        new PrintStream(out, true, StandardCharsets.UTF_8),
        new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
    return out.toString(StandardCharsets.UTF_8);
  }
}
