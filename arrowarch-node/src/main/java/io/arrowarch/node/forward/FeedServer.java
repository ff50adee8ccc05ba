package io.arrowarch.node.forward;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Longs;
import io.arrowarch.core.feed.FeedAnswer;
import io.arrowarch.core.feed.StoreFollower;
import io.arrowarch.core.store.StoreRevision;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Tells other routers what this one holds of the store: all of it where the store does not answer
 * them, or, to those that follow this router, what has changed after a revision, as soon as
 * something has.
 */
final class FeedServer implements Handler<HttpServerRequest> {
  /** The revision after which changes are asked for; without it all is told. */
  static final String AFTER = "after";

  /** The era of that revision; 0 where none is given. */
  static final String ERA = "era";

  /** How long an answer may wait for a change, in milliseconds. */
  static final String WAIT = "wait";

  private static final long LONGEST_WAIT_MILLIS = 30_000;
  private static final int BAD_REQUEST = 400;
  private static final int GONE = 410;
  private static final int UNAVAILABLE = 503;

  private final Vertx vertx;
  private final Supplier<StoreFollower> follower;
  private final FeedCodec codec;
  private final Set<Waiting> waiting = new LinkedHashSet<>();
  private Optional<Compressed> compressed = Optional.empty();

  /**
   * A listing in the form in which it is told.
   *
   * @param changes of what was held when it was made
   * @param position up to which all was known
   */
  private record Compressed(long changes, StoreRevision position, Buffer body) {
    boolean isOf(long otherChanges, StoreRevision otherPosition) {
      return changes == otherChanges && position.equals(otherPosition);
    }
  }

  /** A request for changes that has not been answered, with the timer of its end. */
  private record Waiting(
      HttpServerRequest request, long receivedNanos, StoreRevision after, long timer) {}

  FeedServer(Vertx vertx, Supplier<StoreFollower> follower, FeedCodec codec) {
    this.vertx = vertx;
    this.follower = follower;
    this.codec = codec;
  }

  @Override
  public void handle(HttpServerRequest request) {
    String after = request.getParam(AFTER);
    if (after == null) {
      answerListing(request);
      return;
    }
    Long number = Longs.tryParse(after);
    Long era = Longs.tryParse(request.getParam(ERA, "0"));
    Long wait = Longs.tryParse(request.getParam(WAIT, ""));
    if (number == null || era == null || wait == null || wait < 1 || wait > LONGEST_WAIT_MILLIS) {
      end(request, BAD_REQUEST);
    } else {
      long receivedNanos = System.nanoTime();
      StoreRevision revision = new StoreRevision(era, number);
      if (!answerChanges(request, receivedNanos, revision, false)) {
        hold(request, receivedNanos, revision, wait);
      }
    }
  }

  /** Answers those whose changes have come, and all when this router may not be followed. */
  void onFollowed() {
    for (Waiting held : ImmutableList.copyOf(waiting)) {
      if (answerChanges(held.request(), held.receivedNanos(), held.after(), false)) {
        forget(held);
      }
    }
  }

  private void hold(
      HttpServerRequest request, long receivedNanos, StoreRevision after, long waitMillis) {
    long timer = vertx.setTimer(waitMillis, id -> onWaitOver(request));
    Waiting held = new Waiting(request, receivedNanos, after, timer);
    waiting.add(held);
    request.response().closeHandler(closed -> forget(held));
  }

  private void onWaitOver(HttpServerRequest request) {
    for (Waiting held : ImmutableList.copyOf(waiting)) {
      if (held.request() == request) {
        forget(held);
        answerChanges(request, held.receivedNanos(), held.after(), true);
      }
    }
  }

  private void forget(Waiting held) {
    if (waiting.remove(held)) {
      vertx.cancelTimer(held.timer());
    }
  }

  private void answerListing(HttpServerRequest request) {
    Optional<FeedAnswer> held = follower.get().view().snapshot();
    if (held.isPresent()) {
      stateAge(request, System.nanoTime());
      end(request, held.get());
    } else {
      end(request, UNAVAILABLE);
    }
  }

  private void end(HttpServerRequest request, FeedAnswer listing) {
    stateEra(request, listing);
    String accepted = request.getHeader(HttpHeaders.ACCEPT_ENCODING);
    if (accepted == null || !accepted.contains(CompressedListing.ENCODING)) {
      request.response().end(Buffer.buffer(codec.encodeListing(listing)));
      return;
    }
    request.response().putHeader(HttpHeaders.CONTENT_ENCODING, CompressedListing.ENCODING);
    request.response().end(compressed(listing));
  }

  /** When many routers start together, all get the same bytes. */
  private Buffer compressed(FeedAnswer listing) {
    long changes = follower.get().view().changeCount();
    boolean same = compressed.filter(made -> made.isOf(changes, listing.revision())).isPresent();
    if (!same) {
      Buffer body = Buffer.buffer(CompressedListing.write(codec.encodeListing(listing)));
      compressed = Optional.of(new Compressed(changes, listing.revision(), body));
    }
    return compressed.get().body();
  }

  /** Answers with what has changed; returns false when nothing has and there is time to wait. */
  private boolean answerChanges(
      HttpServerRequest request, long receivedNanos, StoreRevision after, boolean waitIsOver) {
    if (follower.get().view().isBetweenEras() && !waitIsOver) {
      // All is told at once when the listing is complete; asking the store would be a herd.
      return false;
    }
    if (!follower.get().mayBeFollowed(after)) {
      end(request, UNAVAILABLE);
      return true;
    }
    Optional<FeedAnswer> changes = follower.get().view().changesAfter(after);
    if (changes.isEmpty()) {
      end(request, GONE);
      return true;
    }
    if (changes.get().items().isEmpty() && !waitIsOver) {
      return false;
    }
    stateAge(request, receivedNanos);
    stateEra(request, changes.get());
    request.response().end(Buffer.buffer(codec.encodeChanges(changes.get())));
    return true;
  }

  /**
   * States the age that the view had when the question came, so that the asker can count back from
   * its own clock, however long the answer was held.
   */
  private void stateAge(HttpServerRequest request, long receivedNanos) {
    follower
        .get()
        .view()
        .ageAt(receivedNanos)
        .ifPresent(age -> ViewAge.put(request.response().headers(), age));
  }

  private void stateEra(HttpServerRequest request, FeedAnswer answer) {
    request.response().putHeader(codec.eraHeader(), Long.toString(answer.revision().era()));
  }

  private static void end(HttpServerRequest request, int status) {
    request.response().setStatusCode(status).end();
  }
}
