package io.arrowarch.node.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A response with its end, as a client sees it.
 *
 * @param fields name and value of each field, in order, without trailers
 */
record ReceivedResponse(int status, List<String> fields, String body) {
  private static final String LENGTH = "content-length: ";

  /** With the length as a number at the end: the library's decoder removes leading zeros of it. */
  static ReceivedResponse of(int status, List<String> fields, String body) {
    List<String> compared = new ArrayList<>(fields);
    List<String> lengths =
        fields.stream().filter(field -> field.toLowerCase(Locale.ROOT).startsWith(LENGTH)).toList();
    compared.removeAll(lengths);
    for (String length : lengths) {
      compared.add(LENGTH + Long.parseLong(length.substring(LENGTH.length())));
    }
    return new ReceivedResponse(status, compared, body);
  }
}
