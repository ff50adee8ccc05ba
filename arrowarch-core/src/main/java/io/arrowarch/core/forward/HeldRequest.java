package io.arrowarch.core.forward;

import io.arrowarch.core.error.QueryError;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** A request that came before the store was read. */
final class HeldRequest {
  private final ForwardedRequest request;
  private final long sinceNanos;
  private final Consumer<Either<QueryError, ForwardedAnswer>> sink;
  private ForwardHandle handle = () -> {};

  HeldRequest(
      ForwardedRequest request,
      long sinceNanos,
      Consumer<Either<QueryError, ForwardedAnswer>> sink) {
    this.request = request;
    this.sinceNanos = sinceNanos;
    this.sink = sink;
  }

  /** Submits it with the time that its caller has left now. */
  void submitTo(ForwardCoordinator coordinator, long nowNanos) {
    Duration waited = Duration.ofNanos(nowNanos - sinceNanos);
    handle = coordinator.submit(request.after(waited), sink);
  }

  void refuse(BiConsumer<ForwardedRequest, Consumer<Either<QueryError, ForwardedAnswer>>> refusal) {
    refusal.accept(request, sink);
  }

  /** Cancels it if it was submitted. */
  void cancel() {
    handle.cancel();
  }
}
