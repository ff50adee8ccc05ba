package io.arrowarch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.arrowarch.core.time.Durations;
import io.arrowarch.core.topology.Configuration;
import io.arrowarch.emulator.backend.BackendOptions;
import io.arrowarch.emulator.backend.BackendServer;
import io.arrowarch.emulator.backend.ServiceTimes;
import io.arrowarch.node.SocketAddressSetting;
import java.io.File;
import java.io.PrintStream;

/** {@code arrowarch-emulator backend}: one emulated back end of a configuration. */
@Parameters(commandDescription = "Runs one emulated back end until SIGTERM")
final class EmulatedBackendCommand implements Command {
  @Parameter(names = "--config", required = true, description = "Configuration document")
  private File config;

  @Parameter(names = "--id", required = true, description = "Which back end of the document")
  private String id;

  @Parameter(names = "--service-time", description = "Median time of a request")
  private String serviceTime = "4ms";

  @Parameter(names = "--snapshot", description = "Index snapshot that it starts with")
  private long snapshot = 1;

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws CommandException {
    Configuration configuration = Documents.readValid(config);
    if (!configuration.backends().containsKey(id)) {
      throw new CommandException("no back end is named '" + id + "'");
    }
    SocketAddressSetting address =
        SocketAddressSetting.parse(configuration.backends().get(id).address());
    BackendServer server =
        new BackendServer(
            BackendOptions.of(configuration, id),
            address.host(),
            address.port(),
            ServiceTimes.around(Durations.parse(serviceTime)),
            snapshot);
    Processes.runUntilStopped(server, server::drain);
    return ExitCode.OK;
  }
}
