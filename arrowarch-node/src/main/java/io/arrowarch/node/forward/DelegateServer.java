package io.arrowarch.node.forward;

import io.arrowarch.core.forward.DelegateReply;
import io.arrowarch.core.forward.DelegatedSearch;
import io.arrowarch.core.forward.ForwardHandle;
import io.arrowarch.core.forward.ForwardingRouter;
import io.arrowarch.node.EventLoopDriver;
import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Optional;
import java.util.function.Supplier;

/** Takes searches that other routers hand on. A router that closes its connection cancels one. */
final class DelegateServer implements Handler<HttpServerRequest> {
  private static final int BAD_REQUEST = 400;

  private final EventLoopDriver driver;
  private final Supplier<ForwardingRouter> router;
  private int inProgress;

  DelegateServer(EventLoopDriver driver, Supplier<ForwardingRouter> router) {
    this.driver = driver;
    this.router = router;
  }

  /** Searches of other routers without a reply. */
  int inProgress() {
    return inProgress;
  }

  @Override
  public void handle(HttpServerRequest request) {
    request.body().onSuccess(body -> onBody(request.response(), body));
  }

  private void onBody(HttpServerResponse response, Buffer body) {
    byte[] bytes = body.getBytes();
    DelegationCodec.decodeNumber(bytes)
        .flatMap(
            number ->
                DelegationCodec.decodeSearch(bytes)
                    .onSuccess(search -> new Exchange(response, number).submit(search)))
        .onFailure(malformed -> response.setStatusCode(BAD_REQUEST).end());
  }

  /** One search and its reply. */
  private final class Exchange {
    private final HttpServerResponse response;
    private final Optional<Long> number;
    private ForwardHandle handle = () -> {};
    private boolean ended;

    Exchange(HttpServerResponse response, Optional<Long> number) {
      this.response = response;
      this.number = number;
    }

    void submit(DelegatedSearch search) {
      inProgress++;
      DelegatedSearch received = search.withUnread(driver.longestWaitUnread(false));
      driver.run(
          () -> {
            response.closeHandler(closed -> onClosed());
            handle = router.get().submitDelegated(received, this::reply);
          });
    }

    private void reply(DelegateReply reply) {
      if (!ended) {
        ended = true;
        inProgress--;
        response.end(Buffer.buffer(DelegationCodec.encode(number, reply)));
      }
    }

    private void onClosed() {
      if (!ended) {
        ended = true;
        inProgress--;
        driver.run(handle::cancel);
      }
    }
  }
}
