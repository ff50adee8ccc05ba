package io.arrowarch.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.io.Files;
import io.arrowarch.core.wire.WireCodec;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.List;
import java.util.Optional;

/** One line of a router's event log. */
record LogLine(Instant time, String node, String event, JsonNode detail) {
  /** Reads files whose lines may have a prefix; what is no line of a log is skipped. */
  static ImmutableList<LogLine> readAll(List<String> files) throws CommandException {
    ImmutableList.Builder<LogLine> lines = ImmutableList.builder();
    for (String file : files) {
      lines.addAll(read(new File(file)));
    }
    return lines.build();
  }

  private static List<LogLine> read(File file) throws CommandException {
    try {
      return Files.asCharSource(file, StandardCharsets.UTF_8).readLines().stream()
          .flatMap(text -> parse(text).stream())
          .toList();
    } catch (IOException e) {
      throw new CommandException("cannot read " + file + ": " + e.getMessage(), e);
    }
  }

  private static Optional<LogLine> parse(String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    return WireCodec.decodeTree(text.substring(start).getBytes(StandardCharsets.UTF_8))
        .toJavaOptional()
        .flatMap(LogLine::of);
  }

  private static Optional<LogLine> of(JsonNode tree) {
    try {
      return Optional.of(
          new LogLine(
              Instant.parse(tree.path("time").asText()),
              tree.path("node").asText(),
              tree.path("event").asText(),
              tree.path("detail")));
    } catch (DateTimeParseException e) {
      return Optional.empty();
    }
  }

  /** Whether it is of a request. */
  boolean isOf(String requestId) {
    return text("requestId").equals(requestId);
  }

  /** A field as text; empty when it is missing. */
  String text(String field) {
    return detail.path(field).asText();
  }
}
