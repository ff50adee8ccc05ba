package io.arrowarch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import io.arrowarch.node.NodeSettings;
import io.arrowarch.node.RouterNode;
import io.arrowarch.node.SocketAddressSetting;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;

/**
 * {@code arrowarch-emulator hollow}: many routers in one process, with sockets of their own and no
 * callers, beside real ones. Logs when all of them hold a new version.
 */
@Parameters(commandDescription = "Runs many routers without callers in one process until SIGTERM")
final class HollowCommand implements Command {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final SocketAddressSetting ANY_PORT = new SocketAddressSetting("127.0.0.1", 0);
  private static final int MAXIMUM_QUERIES = 10;
  private static final int MAXIMUM_BODY_BYTES = 1_024;

  @Parameter(names = "--count", required = true, description = "How many routers")
  private int count;

  @Parameter(names = "--zones", required = true, description = "Their zones, in turn")
  private List<String> zones;

  @Parameter(names = "--platform", required = true, description = "IP:PORT of the platform")
  private String platform;

  @Parameter(names = "--contacts", required = true, description = "IP:PORT of peers")
  private List<String> contacts;

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws CommandException {
    ImmutableList.Builder<RouterNode> nodes = ImmutableList.builder();
    for (int i = 0; i < count; i++) {
      nodes.add(new RouterNode(settings(i)));
    }
    ImmutableList.Builder<VerticleBase> all = ImmutableList.builder();
    ImmutableList<RouterNode> routers = nodes.build();
    all.addAll(routers);
    all.add(new VersionWatch(routers));
    Processes.runUntilStopped(all.build(), signalNanos -> Future.succeededFuture());
    return ExitCode.OK;
  }

  private NodeSettings settings(int number) {
    return new NodeSettings(
        "hollow-" + number,
        zones.get(number % zones.size()),
        ANY_PORT,
        ANY_PORT,
        SocketAddressSetting.parse(platform),
        contacts.stream().map(SocketAddressSetting::parse).collect(ImmutableList.toImmutableList()),
        Duration.ZERO,
        MAXIMUM_QUERIES,
        MAXIMUM_BODY_BYTES);
  }

  /** Logs the time between the first and the last router that hold a version. */
  private static final class VersionWatch extends VerticleBase {
    private static final long POLL_MILLIS = 10;

    private final ImmutableList<RouterNode> routers;
    private long newest;
    private long firstSeenNanos;
    private boolean spreading;

    VersionWatch(ImmutableList<RouterNode> routers) {
      this.routers = routers;
    }

    @Override
    public Future<?> start() {
      vertx.setPeriodic(POLL_MILLIS, id -> look());
      return Future.succeededFuture();
    }

    private void look() {
      long highest = routers.stream().mapToLong(RouterNode::versionInForce).max().orElse(0);
      long lowest = routers.stream().mapToLong(RouterNode::versionInForce).min().orElse(0);
      if (highest > newest) {
        newest = highest;
        firstSeenNanos = System.nanoTime();
        spreading = true;
      }
      if (spreading && lowest == newest) {
        spreading = false;
        long millis = Duration.ofNanos(System.nanoTime() - firstSeenNanos).toMillis();
        logger.atInfo().log(
            "Hollow: version %d is in force at all %d after %d ms.",
            newest, routers.size(), millis);
      }
    }
  }
}
