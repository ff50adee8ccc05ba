package io.arrowarch.node.forward;

import io.arrowarch.core.forward.Payload;
import io.arrowarch.core.forward.ServerAttempt;
import io.arrowarch.core.forward.ServerReply;
import io.vertx.core.MultiMap;
import java.time.Duration;

/** The headers of requests to servers and of their answers. */
public interface AttemptCodec {
  /**
   * Writes the headers of a request to a server.
   *
   * @param timeLeft how long the server may work
   */
  void encode(ServerAttempt attempt, Duration timeLeft, MultiMap headers);

  /**
   * Reads a whole answer.
   *
   * @param first whether the connection has had no request before, so that an answer that does not
   *     tell its request can be of this one only
   */
  ServerReply decode(
      ServerAttempt attempt, int status, MultiMap headers, Payload body, boolean first);
}
