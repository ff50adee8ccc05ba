package io.arrowarch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableList;
import io.arrowarch.core.topology.Configuration;
import io.arrowarch.emulator.load.DirectLoad;
import io.arrowarch.emulator.load.LoadOptions;
import io.arrowarch.emulator.load.LoadResult;
import io.arrowarch.emulator.load.RouterLoad;
import io.arrowarch.node.SocketAddressSetting;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.File;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;

/** {@code arrowarch-emulator load}: an open-loop load through routers. */
@Parameters(commandDescription = "Sends queries at a fixed rate and prints latency and coverage")
final class LoadCommand implements Command {
  @Parameter(names = "--routers", required = true, description = "IP:PORT of routers")
  private List<String> routers;

  @Parameter(names = "--kind", required = true, description = "Query kind")
  private String kind;

  @Parameter(names = "--rate", required = true, description = "Queries per second")
  private double rate;

  @Parameter(names = "--seconds", description = "Length of the measurement")
  private long seconds = 10;

  @Parameter(names = "--warm-up-seconds", description = "Time before the measurement")
  private long warmUpSeconds;

  @Parameter(
      names = "--direct",
      description = "Configuration document; each round is also sent straight to the back ends")
  private File direct;

  @Parameter(names = "--rounds", description = "How often the measurement is repeated")
  private int rounds = 1;

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws CommandException {
    Vertx vertx = Vertx.vertx();
    LoadOptions options =
        new LoadOptions(
            routers.stream()
                .map(SocketAddressSetting::parse)
                .collect(ImmutableList.toImmutableList()),
            kind,
            rate,
            Duration.ofSeconds(seconds),
            Duration.ofSeconds(warmUpSeconds));
    Configuration configuration = direct == null ? null : Documents.readValid(direct);
    for (int round = 0; round < rounds; round++) {
      if (configuration != null) {
        out.println("direct:  " + await(new DirectLoad(vertx, options, configuration).run()));
      }
      out.println("routers: " + await(new RouterLoad(vertx, options).run()));
    }
    vertx.close();
    return ExitCode.OK;
  }

  private static LoadResult await(Future<LoadResult> future) throws CommandException {
    try {
      return future.toCompletionStage().toCompletableFuture().get();
    } catch (ExecutionException e) {
      throw new CommandException("the load failed: " + e.getCause().getMessage(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException("interrupted", e);
    }
  }
}
