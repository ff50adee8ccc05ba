package io.arrowarch.core.forward;

import io.arrowarch.core.error.QueryError;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** A request that arrived before the store was read and waits for it. */
final class HeldRequest {
  private final ForwardedRequest request;
  private final long receivedNanos;
  private final Consumer<Either<QueryError, ForwardedAnswer>> sink;
  private ForwardHandle handle = () -> {};

  HeldRequest(
      ForwardedRequest request,
      long receivedNanos,
      Consumer<Either<QueryError, ForwardedAnswer>> sink) {
    this.request = request;
    this.receivedNanos = receivedNanos;
    this.sink = sink;
  }

  /** Submits the request, with the time waited deducted from the caller's time left. */
  void submitTo(ForwardCoordinator coordinator, long nowNanos) {
    Duration waited = Duration.ofNanos(nowNanos - receivedNanos);
    handle = coordinator.submit(request.afterWaiting(waited), sink);
  }

  void refuse(BiConsumer<ForwardedRequest, Consumer<Either<QueryError, ForwardedAnswer>>> refusal) {
    refusal.accept(request, sink);
  }

  /** Cancels the request if it has been submitted. */
  void cancel() {
    handle.cancel();
  }
}
