package io.arrowarch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.io.Files;
import io.arrowarch.core.wire.WireCodec;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * {@code arrowarch trace}: the story of one request out of the logs of several routers, in order of
 * time, with the changes of belief around it that concern its servers or the whole router.
 */
@Parameters(commandDescription = "Tells the story of one request from log files")
final class TraceCommand implements Command {
  private static final Duration AROUND = Duration.ofSeconds(5);
  private static final int ID_AND_FILE = 2;
  private static final Set<String> OF_THE_ROUTER =
      Set.of("store", "configuration", "process", "routers");

  @Parameter(description = "REQUEST-ID FILE...", required = true)
  private List<String> arguments = new ArrayList<>();

  /** One line of a log. */
  private record Line(Instant time, String node, String event, JsonNode detail) {
    boolean isOf(String requestId) {
      return detail.path("requestId").asText().equals(requestId);
    }
  }

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws CommandException {
    if (arguments.size() < ID_AND_FILE) {
      throw new CommandException("trace needs a request id and at least one file");
    }
    String requestId = arguments.get(0);
    List<Line> lines = new ArrayList<>();
    for (String file : arguments.subList(1, arguments.size())) {
      lines.addAll(read(new File(file)));
    }
    List<Line> own = lines.stream().filter(line -> line.isOf(requestId)).toList();
    if (own.isEmpty()) {
      err.println("no line of request " + requestId + " in " + lines.size() + " lines");
      return ExitCode.FAULTS;
    }
    lines.stream()
        .filter(line -> own.contains(line) || isAround(line, own))
        .sorted(Comparator.comparing(Line::time))
        .forEach(line -> out.println(sentence(line)));
    return ExitCode.OK;
  }

  private static List<Line> read(File file) throws CommandException {
    try {
      return Files.asCharSource(file, StandardCharsets.UTF_8).readLines().stream()
          .flatMap(text -> parse(text).stream())
          .toList();
    } catch (IOException e) {
      throw new CommandException("cannot read " + file + ": " + e.getMessage(), e);
    }
  }

  /** A line may have a prefix that whoever collected it has written; other lines are skipped. */
  private static Optional<Line> parse(String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    return WireCodec.decodeTree(text.substring(start).getBytes(StandardCharsets.UTF_8))
        .toJavaOptional()
        .flatMap(TraceCommand::line);
  }

  private static Optional<Line> line(JsonNode tree) {
    try {
      return Optional.of(
          new Line(
              Instant.parse(tree.path("time").asText()),
              tree.path("node").asText(),
              tree.path("event").asText(),
              tree.path("detail")));
    } catch (DateTimeParseException e) {
      return Optional.empty();
    }
  }

  private static boolean isAround(Line line, List<Line> own) {
    boolean near =
        own.stream()
            .anyMatch(
                mine ->
                    mine.node().equals(line.node())
                        && Duration.between(mine.time(), line.time()).abs().compareTo(AROUND) <= 0);
    if (!near) {
      return false;
    }
    return OF_THE_ROUTER.contains(line.event())
        || (line.event().equals("server")
            && serversOf(own).contains(line.detail().path("server").asText()));
  }

  /** Servers that the request was sent to or waited for. */
  private static Set<String> serversOf(List<Line> own) {
    Set<String> servers = new HashSet<>();
    for (Line line : own) {
      servers.add(line.detail().path("server").asText());
      for (JsonNode part : line.detail().path("missing")) {
        part.path("open").forEach(open -> servers.add(open.asText().replaceFirst(" .*", "")));
      }
    }
    return servers;
  }

  private static String sentence(Line line) {
    StringBuilder fields = new StringBuilder();
    for (Map.Entry<String, JsonNode> field : line.detail().properties()) {
      fields.append(' ').append(field.getKey()).append('=').append(text(field.getValue()));
    }
    return line.time() + " " + line.node() + " " + line.event() + fields;
  }

  private static String text(JsonNode value) {
    if (value.isDouble()) {
      return String.format("%.1f", value.doubleValue());
    }
    return value.isTextual() ? value.asText() : value.toString();
  }
}
