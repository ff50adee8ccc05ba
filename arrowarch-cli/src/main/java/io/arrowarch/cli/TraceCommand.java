package io.arrowarch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws CommandException {
    if (arguments.size() < ID_AND_FILE) {
      throw new CommandException("trace needs a request id and at least one file");
    }
    String requestId = arguments.get(0);
    List<LogLine> lines = LogLine.readAll(arguments.subList(1, arguments.size()));
    List<LogLine> own = lines.stream().filter(line -> line.isOf(requestId)).toList();
    if (own.isEmpty()) {
      err.println("no line of request " + requestId + " in " + lines.size() + " lines");
      return ExitCode.FAULTS;
    }
    lines.stream()
        .filter(line -> own.contains(line) || isAround(line, own))
        .sorted(Comparator.comparing(LogLine::time))
        .forEach(line -> out.println(sentence(line)));
    return ExitCode.OK;
  }

  private static boolean isAround(LogLine line, List<LogLine> own) {
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
        || (line.event().equals("servers") && namesAny(line, serversOf(own)));
  }

  private static boolean namesAny(LogLine line, Set<String> servers) {
    for (JsonNode named : line.detail().path("servers")) {
      if (servers.contains(firstWord(named.asText()))) {
        return true;
      }
    }
    return false;
  }

  private static String firstWord(String text) {
    return text.replaceFirst(" .*", "");
  }

  /** Servers that the request was sent to or waited for. */
  private static Set<String> serversOf(List<LogLine> own) {
    Set<String> servers = new HashSet<>();
    for (LogLine line : own) {
      servers.add(line.detail().path("server").asText());
      for (JsonNode part : line.detail().path("missing")) {
        part.path("open").forEach(open -> servers.add(firstWord(open.asText())));
      }
    }
    return servers;
  }

  private static String sentence(LogLine line) {
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
