package io.arrowarch.core.once;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Permits one non-repeatable request to run, at one incarnation of one node. The text form is
 * {@code NODE~INCARNATION~NUMBER}.
 *
 * @param nodeId the node that issued it
 * @param incarnation the incarnation of that node
 * @param number unique within the incarnation; later tickets have higher numbers
 */
public record Ticket(String nodeId, long incarnation, long number) {
  private static final Pattern FORMAT =
      Pattern.compile("([A-Za-z0-9._-]{1,63})~([0-9]{1,18})~([0-9]{1,18})");

  /** Parses the text form; empty when it is malformed. */
  public static Optional<Ticket> parse(String text) {
    Matcher matcher = FORMAT.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    return Optional.of(
        new Ticket(
            matcher.group(1), Long.parseLong(matcher.group(2)), Long.parseLong(matcher.group(3))));
  }

  @Override
  public String toString() {
    return nodeId + "~" + incarnation + "~" + number;
  }
}
