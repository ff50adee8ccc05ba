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
    Set<String> dropped = new HashSet<>(OF_ONE_CONNECTION);
    dropped.addAll(set);
    for (String value : headers.getAll(CONNECTION)) {
      Splitter.on(',').trimResults().split(value.toLowerCase(Locale.ROOT)).forEach(dropped::add);
    }
    ImmutableList.Builder<HeaderField> travelling = ImmutableList.builder();
    for (Map.Entry<String, String> header : headers) {
      if (!dropped.contains(header.getKey().toLowerCase(Locale.ROOT))) {
        travelling.add(new HeaderField(header.getKey(), header.getValue()));
      }
    }
    return travelling.build();
  }
}
