package io.arrowarch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.arrowarch.core.config.ConfigurationCodec;
import io.arrowarch.emulator.platform.PlatformServer;
import io.arrowarch.node.SocketAddressSetting;
import io.vertx.core.Future;
import java.io.File;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** {@code arrowarch-emulator platform}: the platform's read-only services. */
@Parameters(commandDescription = "Runs a stand-in for the platform until SIGTERM")
final class EmulatedPlatformCommand implements Command {
  @Parameter(names = "--config", required = true, description = "Configuration document to serve")
  private File config;

  @Parameter(names = "--listen", required = true, description = "IP:PORT to serve at")
  private String listen;

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws CommandException {
    String json = ConfigurationCodec.toJson(Documents.readValid(config).document());
    SocketAddressSetting address = SocketAddressSetting.parse(listen);
    PlatformServer server =
        new PlatformServer(address.host(), address.port(), json.getBytes(StandardCharsets.UTF_8));
    Processes.runUntilStopped(List.of(server), signalNanos -> Future.succeededFuture());
    return ExitCode.OK;
  }
}
