package io.arrowarch.node.forward;

import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.forward.ForwardedAnswer;
import io.arrowarch.core.forward.ForwardedRequest;
import io.arrowarch.core.forward.Payload;
import io.vavr.control.Either;
import io.vertx.core.MultiMap;

/** The headers of callers' requests and of the answers to them. */
public interface CallerCodec {
  /** Reads a request; an error when its headers cannot be understood. */
  Either<QueryError, ForwardedRequest> decode(
      String method, String host, String target, MultiMap headers, Payload body);

  /** Writes the headers of an answer. */
  void encode(ForwardedRequest request, ForwardedAnswer answer, MultiMap headers);
}
