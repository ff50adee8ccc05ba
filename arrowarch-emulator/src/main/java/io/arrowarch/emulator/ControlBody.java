package io.arrowarch.emulator;

import io.arrowarch.core.wire.WireCodec;
import io.vertx.ext.web.RoutingContext;
import java.util.function.Consumer;

/** Reads what tests and demos tell a stand-in to do. */
public final class ControlBody {
  private static final int BAD_REQUEST = 400;

  private ControlBody() {}

  /** Hands the decoded body on and answers; a malformed one is answered by status 400. */
  public static <T> void read(RoutingContext context, Class<T> type, Consumer<T> apply) {
    context
        .request()
        .body()
        .onSuccess(
            body ->
                WireCodec.decode(body.getBytes(), type)
                    .onSuccess(
                        control -> {
                          apply.accept(control);
                          context.response().end("done\n");
                        })
                    .onFailure(
                        failure ->
                            context
                                .response()
                                .setStatusCode(BAD_REQUEST)
                                .end(failure.getMessage() + "\n")));
  }
}
