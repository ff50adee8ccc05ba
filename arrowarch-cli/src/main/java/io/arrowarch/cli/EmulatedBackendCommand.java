package io.arrowarch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableList;
import io.arrowarch.core.time.Durations;
import io.arrowarch.core.topology.Backend;
import io.arrowarch.core.topology.Configuration;
import io.arrowarch.emulator.backend.BackendOptions;
import io.arrowarch.emulator.backend.BackendServer;
import io.arrowarch.emulator.backend.ServiceTimes;
import io.arrowarch.node.SocketAddressSetting;
import io.vertx.core.Future;
import java.io.File;
import java.io.PrintStream;

/** {@code arrowarch-emulator backend}: emulated back ends of a configuration. */
@Parameters(commandDescription = "Runs one emulated back end, or all, until SIGTERM")
final class EmulatedBackendCommand implements Command {
  @Parameter(names = "--config", required = true, description = "Configuration document")
  private File config;

  @Parameter(names = "--id", description = "Which back end of the document; all when absent")
  private String id;

  @Parameter(names = "--service-time", description = "Median time of a request")
  private String serviceTime = "4ms";

  @Parameter(names = "--snapshot", description = "Index snapshot that it starts with")
  private long snapshot = 1;

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws CommandException {
    Configuration configuration = Documents.readValid(config);
    if (id != null && !configuration.backends().containsKey(id)) {
      throw new CommandException("no back end is named '" + id + "'");
    }
    ImmutableList<BackendServer> servers =
        configuration.backends().values().stream()
            .filter(backend -> id == null || backend.id().equals(id))
            .map(backend -> server(configuration, backend))
            .collect(ImmutableList.toImmutableList());
    Processes.runUntilStopped(servers, signalNanos -> drainAll(servers));
    return ExitCode.OK;
  }

  private BackendServer server(Configuration configuration, Backend backend) {
    SocketAddressSetting address = SocketAddressSetting.parse(backend.address());
    return new BackendServer(
        BackendOptions.of(configuration, backend.id()),
        address.host(),
        address.port(),
        ServiceTimes.around(Durations.parse(serviceTime)),
        snapshot);
  }

  private static Future<Void> drainAll(ImmutableList<BackendServer> servers) {
    return Future.all(servers.stream().map(BackendServer::drain).toList()).mapEmpty();
  }
}
