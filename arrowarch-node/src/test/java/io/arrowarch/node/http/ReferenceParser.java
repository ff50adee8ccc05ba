package io.arrowarch.node.http;

import com.google.common.base.Splitter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads all bytes that came for one request on a connection that has ended. It is written for
 * plainness: expressions over text in place of a state for each byte.
 */
final class ReferenceParser {
  private static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]*";
  private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
  private static final String STATUS_LINE = "HTTP/1\\.[01] ([1-5][0-9][0-9])(?: " + TEXT + ")?\r\n";
  private static final Pattern HEAD =
      Pattern.compile(STATUS_LINE + "((?:" + TOKEN + ":" + TEXT + "\r\n)*)\r\n");
  private static final Pattern SECOND_START = Pattern.compile("HTTP/1\\.[01] [1-9][0-9][0-9][ \r]");
  private static final Pattern CHUNK_LINE =
      Pattern.compile("([0-9A-Fa-f]{1,15})(?:;" + TEXT + ")?\r\n");
  private static final Pattern TRAILERS =
      Pattern.compile("((?:" + TOKEN + ":" + TEXT + "\r\n)*)\r\n");
  private static final int MAXIMUM_INTERIM = 8;
  private static final String HEAD_END = "\r\n\r\n";

  private final String bytes;
  private final String method;
  private int position;

  /**
   * What the bytes are.
   *
   * @param response the response, if it is whole
   * @param sound whether the bytes are this response and nothing else
   */
  record Verdict(Optional<ReceivedResponse> response, boolean sound) {}

  private static final Verdict NOTHING = new Verdict(Optional.empty(), false);

  private ReferenceParser(String bytes, String method) {
    this.bytes = bytes;
    this.method = method;
  }

  /** Reads the bytes that came for a request of this method until the connection ended. */
  static Verdict parse(String bytes, String method) {
    return new ReferenceParser(bytes, method).verdict();
  }

  private Verdict verdict() {
    for (int heads = 0; heads <= MAXIMUM_INTERIM; heads++) {
      int end = bytes.indexOf(HEAD_END, position);
      if (end < 0) {
        return NOTHING;
      }
      String head = bytes.substring(position, end + HEAD_END.length());
      position = end + HEAD_END.length();
      Matcher matcher = HEAD.matcher(head);
      if (!matcher.matches() || SECOND_START.matcher(head).find(1)) {
        return NOTHING;
      }
      int status = Integer.parseInt(matcher.group(1));
      List<String> fields = fields(matcher.group(2));
      if (!isLengthSound(head, status, fields)) {
        return NOTHING;
      }
      if (status >= 200) {
        return body(status, fields)
            .map(body -> ReceivedResponse.of(status, decoded(status, fields), body))
            .map(whole -> new Verdict(Optional.of(whole), position == bytes.length()))
            .orElse(NOTHING);
      }
    }
    return NOTHING;
  }

  private static List<String> fields(String lines) {
    List<String> fields = new ArrayList<>();
    for (String line : Splitter.on("\r\n").omitEmptyStrings().split(lines)) {
      int colon = line.indexOf(':');
      fields.add(line.substring(0, colon) + ": " + stripped(line.substring(colon + 1)));
    }
    return fields;
  }

  /** The library's decoder drops the transfer coding of a response that has no body. */
  private List<String> decoded(int status, List<String> fields) {
    return fields.stream()
        .filter(
            field ->
                !isWithoutBody(status)
                    || !field.toLowerCase(Locale.ROOT).startsWith("transfer-encoding: "))
        .toList();
  }

  private boolean isWithoutBody(int status) {
    return method.equals("HEAD") || status == 204 || status == 304;
  }

  private static String stripped(String value) {
    return value.replaceAll("^[ \\t]+|[ \\t]+$", "");
  }

  private static List<String> values(List<String> fields, String name) {
    return fields.stream()
        .filter(field -> field.toLowerCase(Locale.ROOT).startsWith(name + ": "))
        .map(field -> field.substring(name.length() + 2))
        .toList();
  }

  private static boolean isLengthSound(String head, int status, List<String> fields) {
    List<String> lengths = values(fields, "content-length");
    List<String> codings = values(fields, "transfer-encoding");
    boolean known =
        lengths.size() + codings.size() <= 1
            && lengths.stream().allMatch(length -> length.matches("[0-9]{1,18}"))
            && codings.stream().allMatch("chunked"::equalsIgnoreCase);
    boolean oldChunks = head.startsWith("HTTP/1.0") && !codings.isEmpty();
    boolean resetWithBody =
        status == 205
            && (!codings.isEmpty() || lengths.stream().anyMatch(length -> !length.matches("0+")));
    return known && !oldChunks && !resetWithBody && status != 101;
  }

  private Optional<String> body(int status, List<String> fields) {
    if (isWithoutBody(status)) {
      return Optional.of("");
    }
    if (!values(fields, "transfer-encoding").isEmpty()) {
      return chunks();
    }
    List<String> lengths = values(fields, "content-length");
    long length = lengths.isEmpty() ? bytes.length() - position : Long.parseLong(lengths.get(0));
    return take(length);
  }

  private Optional<String> take(long length) {
    if (length > bytes.length() - position) {
      return Optional.empty();
    }
    position += (int) length;
    return Optional.of(bytes.substring(position - (int) length, position));
  }

  private Optional<String> chunks() {
    StringBuilder body = new StringBuilder();
    while (true) {
      Matcher line = CHUNK_LINE.matcher(bytes).region(position, bytes.length());
      if (!line.lookingAt()) {
        return Optional.empty();
      }
      position = line.end();
      long size = Long.parseLong(line.group(1), 16);
      if (size == 0) {
        Matcher trailers = TRAILERS.matcher(bytes).region(position, bytes.length());
        boolean whole = trailers.lookingAt();
        position = whole ? trailers.end() : position;
        return whole ? Optional.of(body.toString()) : Optional.empty();
      }
      Optional<String> data = take(size);
      if (data.isEmpty() || !bytes.startsWith("\r\n", position)) {
        return Optional.empty();
      }
      body.append(data.get());
      position += 2;
    }
  }
}
