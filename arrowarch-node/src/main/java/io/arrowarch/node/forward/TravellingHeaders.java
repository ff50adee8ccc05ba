package io.arrowarch.node.forward;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.arrowarch.core.forward.HeaderField;
import io.vertx.core.MultiMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** The headers of a message that travel on: all but those that concern one connection only. */
public final class TravellingHeaders {
  private static final String CONNECTION = "connection";
  private static final ImmutableSet<String> OF_ONE_CONNECTION =
      ImmutableSet.of(
          CONNECTION,
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "content-length",
          "upgrade",
          "expect");

  private TravellingHeaders() {}

  /**
   * Selects headers.
   *
   * @param set names, in lower case, of headers that the router sets itself
   */
  public static ImmutableList<HeaderField> of(MultiMap headers, Set<String> set) {
    Set<String> named = namedByConnection(headers);
    ImmutableList.Builder<HeaderField> travelling = ImmutableList.builder();
    for (Map.Entry<String, String> header : headers) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      boolean stays = OF_ONE_CONNECTION.contains(name) || set.contains(name);
      if (!stays && !named.contains(name)) {
        travelling.add(new HeaderField(header.getKey(), header.getValue()));
      }
    }
    return travelling.build();
  }

  private static Set<String> namedByConnection(MultiMap headers) {
    if (!headers.contains(CONNECTION)) {
      return ImmutableSet.of();
    }
    Set<String> named = new HashSet<>();
    for (String value : headers.getAll(CONNECTION)) {
      Splitter.on(',').trimResults().split(value.toLowerCase(Locale.ROOT)).forEach(named::add);
    }
    return named;
  }
}
