package io.arrowarch.node;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A peer, byte by byte: it answers a request, and writes more than is asked for. */
public final class SurplusAnswerStandIn implements AutoCloseable {
  private static final Pattern LENGTH = Pattern.compile("(?i)content-length: (\\d+)");
  private static final String HEAD_END = "\r\n\r\n";

  private final NetServer server;
  private final List<NetSocket> open = new CopyOnWriteArrayList<>();
  private Exchange exchange = new Exchange(Moment.WITH_ANSWER_BEFORE, "", "", "");
  private int requests;
  private boolean endsAfterNext;

  /** When the surplus bytes are written. */
  public enum Moment {
    /** In one packet with the first answer. */
    WITH_ANSWER_BEFORE,
    /** While the connection is idle, or while the next request is being written. */
    AFTER_ANSWER_BEFORE,
    /** When the next request has arrived, ahead of its answer. */
    AHEAD_OF_NEXT_ANSWER,
    /** In one packet with the next answer. */
    WITH_NEXT_ANSWER
  }

  /**
   * Two answers, with surplus bytes around.
   *
   * @param surplus bytes behind the first answer and ahead of the next one
   */
  public record Exchange(Moment moment, String first, String surplus, String next) {}

  /** Listens on the loopback address. */
  public SurplusAnswerStandIn(Vertx vertx) {
    server =
        vertx
            .createNetServer()
            .connectHandler(this::serve)
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .join();
  }

  /** An answer of these fields and this body, with its length as the last field. */
  public static String answer(String status, List<String> fields, String body) {
    StringBuilder answer = new StringBuilder("HTTP/1.1 " + status + "\r\n");
    fields.forEach(field -> answer.append(field).append("\r\n"));
    return answer + "Content-Length: " + body.length() + HEAD_END + body;
  }

  /** A success of these fields with its body in one chunk. */
  public static String inChunks(List<String> fields, String body) {
    StringBuilder answer = new StringBuilder("HTTP/1.1 200 OK\r\n");
    fields.forEach(field -> answer.append(field).append("\r\n"));
    answer.append("Transfer-Encoding: chunked").append(HEAD_END);
    answer.append(Integer.toHexString(body.length())).append("\r\n").append(body);
    return answer.append("\r\n0").append(HEAD_END).toString();
  }

  /** Closes all connections, and serves the next two requests by this exchange. */
  public synchronized void begin(Exchange begun) {
    open.forEach(NetSocket::close);
    open.clear();
    exchange = begun;
    requests = 0;
  }

  /** Closes the connection behind each next answer, from now on. */
  public synchronized void endConnectionsAfterNext() {
    endsAfterNext = true;
  }

  public String address() {
    return "127.0.0.1:" + port();
  }

  public int port() {
    return server.actualPort();
  }

  @Override
  public void close() {
    server.close().toCompletionStage().toCompletableFuture().join();
  }

  private void serve(NetSocket socket) {
    open.add(socket);
    StringBuilder received = new StringBuilder();
    socket.handler(
        bytes -> {
          received.append(bytes.toString(StandardCharsets.ISO_8859_1));
          if (isWholeRequest(received.toString())) {
            received.setLength(0);
            answer(socket);
          }
        });
  }

  private static boolean isWholeRequest(String text) {
    int headEnd = text.indexOf(HEAD_END);
    Matcher length = LENGTH.matcher(text);
    int body = length.find() ? Integer.parseInt(length.group(1)) : 0;
    return headEnd >= 0 && text.length() >= headEnd + HEAD_END.length() + body;
  }

  private synchronized void answer(NetSocket socket) {
    if (requests++ == 0) {
      answerFirst(socket, exchange);
    } else {
      Future<Void> written = answerNext(socket, exchange);
      if (endsAfterNext) {
        written.onComplete(done -> socket.end());
      }
    }
  }

  private static void answerFirst(NetSocket socket, Exchange exchange) {
    switch (exchange.moment()) {
      case WITH_ANSWER_BEFORE -> socket.write(exchange.first() + exchange.surplus());
      case AFTER_ANSWER_BEFORE ->
          socket.write(exchange.first()).onSuccess(written -> socket.write(exchange.surplus()));
      case AHEAD_OF_NEXT_ANSWER, WITH_NEXT_ANSWER -> socket.write(exchange.first());
    }
  }

  private static Future<Void> answerNext(NetSocket socket, Exchange exchange) {
    return switch (exchange.moment()) {
      case AHEAD_OF_NEXT_ANSWER ->
          socket.write(exchange.surplus()).compose(written -> socket.write(exchange.next()));
      case WITH_NEXT_ANSWER -> socket.write(exchange.surplus() + exchange.next());
      case WITH_ANSWER_BEFORE, AFTER_ANSWER_BEFORE -> socket.write(exchange.next());
    };
  }
}
