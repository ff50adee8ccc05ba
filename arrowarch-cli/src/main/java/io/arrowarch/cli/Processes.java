package io.arrowarch.cli;

import io.vertx.core.Deployable;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.transport.Transport;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongFunction;

/** Runs a server process: deploys it, waits for SIGTERM or SIGINT, stops it in order. */
final class Processes {
  /** Longer than the largest deadline, after which no query can be in progress. */
  private static final Duration LONGEST_STOP = Duration.ofSeconds(75);

  private static final int MAXIMUM_EVENT_LOOPS = 4;

  private Processes() {}

  /**
   * Deploys servers, one event loop each up to a few, and returns when told to stop. A signal that
   * comes while they are being deployed stops them once they are: their ports may have accepted
   * requests already.
   *
   * @param drain runs the planned stop of the servers, given when the signal came by {@link
   *     System#nanoTime}
   */
  static void runUntilStopped(List<? extends Deployable> servers, LongFunction<Future<Void>> drain)
      throws CommandException {
    runUntilStopped(servers, Transport.NIO, drain);
  }

  /**
   * As {@link #runUntilStopped(List, LongFunction)}.
   *
   * @param transport how sockets are opened
   */
  static void runUntilStopped(
      List<? extends Deployable> servers, Transport transport, LongFunction<Future<Void>> drain)
      throws CommandException {
    int eventLoops = Math.min(MAXIMUM_EVENT_LOOPS, servers.size());
    Vertx vertx =
        Vertx.builder()
            .withTransport(transport)
            .with(
                new VertxOptions()
                    .setEventLoopPoolSize(eventLoops)
                    .setFileSystemOptions(
                        new FileSystemOptions()
                            .setFileCachingEnabled(false)
                            .setClassPathResolvingEnabled(false)))
            .build();
    CompletableFuture<Void> deployed = new CompletableFuture<>();
    Thread stop = new Thread(() -> stop(vertx, deployed, drain), "stop");
    Runtime.getRuntime().addShutdownHook(stop);
    try {
      Future.all(servers.stream().map(vertx::deployVerticle).toList())
          .toCompletionStage()
          .toCompletableFuture()
          .get();
    } catch (ExecutionException e) {
      deployed.completeExceptionally(e.getCause());
      vertx.close();
      throw new CommandException("cannot start: " + e.getCause().getMessage(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException("interrupted while starting", e);
    }
    deployed.complete(null);
    CountDownLatch never = new CountDownLatch(1);
    try {
      never.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void stop(
      Vertx vertx, CompletableFuture<Void> deployed, LongFunction<Future<Void>> drain) {
    long signalNanos = System.nanoTime();
    if (deployed.isCompletedExceptionally()) {
      return;
    }
    try {
      deployed
          .thenCompose(ignored -> drain.apply(signalNanos).toCompletionStage())
          .get(LONGEST_STOP.toMillis(), TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      System.err.println("Node: stopped out of order: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    vertx.close();
  }
}
