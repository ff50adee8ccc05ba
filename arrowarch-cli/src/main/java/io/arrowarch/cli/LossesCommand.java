package io.arrowarch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import com.google.common.collect.Multisets;
import com.google.common.collect.TreeMultiset;
import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * {@code arrowarch losses}: which requests lost what, at which second and why, out of the logs of
 * several routers. A search that a gatherer ran stands in the log of both routers.
 */
@Parameters(commandDescription = "Counts what requests lost, by second and cause, from log files")
final class LossesCommand implements Command {
  private static final String SAMPLED = "requests that went well are written for one id in 64 only";
  private static final int MOST_ROWS = 25;

  @Parameter(description = "FILE...", required = true)
  private List<String> files = new ArrayList<>();

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws CommandException {
    ImmutableList<LogLine> lines = LogLine.readAll(files);
    List<LogLine> requests = lines.stream().filter(line -> line.event().equals("request")).toList();
    if (requests.isEmpty()) {
      err.println("no request in " + lines.size() + " lines");
      return ExitCode.FAULTS;
    }
    printSeconds(out, requests);
    printCounts(out, "requests, by route, outcome and reason (" + SAMPLED + ")", causes(requests));
    printCounts(out, "parts that are missing, by state", missingParts(requests));
    printCounts(out, "attempts that failed, by outcome and what followed", failedAttempts(lines));
    return ExitCode.OK;
  }

  private static void printSeconds(PrintStream out, List<LogLine> requests) {
    Instant first = requests.stream().map(LogLine::time).min(Comparator.naturalOrder()).get();
    TreeMultiset<String> outcomes = TreeMultiset.create();
    SortedMap<Long, Multiset<String>> seconds = new TreeMap<>();
    for (LogLine request : requests) {
      long second = Duration.between(first, request.time()).toSeconds();
      String outcome = request.text("outcome");
      outcomes.add(outcome);
      seconds.computeIfAbsent(second, added -> TreeMultiset.create()).add(outcome);
    }
    out.println("requests, by second from " + first + " (" + SAMPLED + ")");
    out.println(row("second", outcomes.elementSet(), outcome -> outcome));
    seconds.forEach(
        (second, counts) ->
            out.println(
                row(
                    second.toString(),
                    outcomes.elementSet(),
                    outcome -> Integer.toString(counts.count(outcome)))));
  }

  /** Makes a column's text. */
  private interface Column {
    String text(String outcome);
  }

  private static String row(String head, Iterable<String> outcomes, Column column) {
    StringBuilder row = new StringBuilder(String.format("%8s", head));
    for (String outcome : outcomes) {
      row.append(String.format("%11s", column.text(outcome)));
    }
    return row.toString();
  }

  private static Multiset<String> causes(List<LogLine> requests) {
    TreeMultiset<String> causes = TreeMultiset.create();
    for (LogLine request : requests) {
      causes.add(
          String.join(
              " | ",
              request.text("route"),
              request.text("outcome"),
              request.text("error"),
              request.text("reason")));
    }
    return causes;
  }

  private static Multiset<String> missingParts(List<LogLine> requests) {
    TreeMultiset<String> parts = TreeMultiset.create();
    for (LogLine request : requests) {
      for (JsonNode part : request.detail().path("missing")) {
        parts.add(
            String.join(
                " | ",
                request.text("outcome"),
                part.path("state").asText(),
                "sent " + part.path("sent").asInt(),
                part.path("hedgeDenied").asText()));
      }
    }
    return parts;
  }

  private static Multiset<String> failedAttempts(List<LogLine> lines) {
    TreeMultiset<String> attempts = TreeMultiset.create();
    for (LogLine line : lines) {
      if (line.event().equals("attempt-failed")) {
        attempts.add(line.text("outcome") + " | " + line.text("next"));
      }
    }
    return attempts;
  }

  private static void printCounts(PrintStream out, String title, Multiset<String> counts) {
    out.println();
    out.println(title);
    Multisets.copyHighestCountFirst(counts).entrySet().stream()
        .limit(MOST_ROWS)
        .forEach(
            entry -> out.println(String.format("%8d  %s", entry.getCount(), entry.getElement())));
  }
}
