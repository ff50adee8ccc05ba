package io.arrowarch.node.forward;

import io.arrowarch.core.feed.FeedAnswer;
import io.arrowarch.core.feed.StoreFollower;
import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.function.Supplier;

/** Tells other routers what this one holds of the store, where the store does not answer them. */
final class FeedServer implements Handler<HttpServerRequest> {
  private static final int UNAVAILABLE = 503;

  private final Supplier<StoreFollower> follower;
  private final FeedCodec codec;

  FeedServer(Supplier<StoreFollower> follower, FeedCodec codec) {
    this.follower = follower;
    this.codec = codec;
  }

  @Override
  public void handle(HttpServerRequest request) {
    Optional<FeedAnswer> held = follower.get().snapshot();
    if (held.isPresent()) {
      request.response().end(Buffer.buffer(codec.encodeListing(held.get())));
    } else {
      request.response().setStatusCode(UNAVAILABLE).end();
    }
  }
}
