package io.arrowarch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableList;
import io.arrowarch.core.config.ConfigurationFault;
import io.arrowarch.node.forward.ForwardingNode;
import io.arrowarch.node.forward.JsonEventLog;
import io.arrowarch.platform.PlatformCallers;
import io.arrowarch.platform.PlatformServers;
import io.arrowarch.platform.PlatformStore;
import io.arrowarch.platform.PlatformWarmUp;
import io.vavr.control.Either;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;

/** {@code arrowarch forward}: a router on the users' platform, which passes requests on. */
@Parameters(commandDescription = "Runs a router that passes requests on, until SIGTERM")
final class ForwardCommand implements Command {
  @Parameter(names = "--settings", required = true, description = "The router's settings file")
  private File settingsFile;

  @Parameter(
      names = "--until-warm",
      description = "Exits as soon as the process is warm; for the archive of classes")
  private boolean untilWarm;

  /** The event log opens when the process is warm: opening it would hold up the start. */
  @Override
  public void configureLogging() {}

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws CommandException {
    ForwardSettingsDocument document = readSettings();
    ForwardingNode node =
        new ForwardingNode(
            document.toNodeSettings(),
            new PlatformCallers(),
            new PlatformServers(),
            new PlatformStore(),
            new PlatformWarmUp(),
            new JsonEventLog(document.id(), Logging::configureEvents));
    if (untilWarm) {
      node.whenAllIsLoaded()
          .onSuccess(searches -> new Thread(() -> System.exit(ExitCode.OK.code()), "exit").start());
    }
    SettingsWatcher.start(settingsFile, () -> reload(node));
    Processes.runUntilStopped(List.of(node), node::drain);
    return ExitCode.OK;
  }

  private void reload(ForwardingNode node) {
    try {
      node.reload(readSettings().toNodeSettings());
    } catch (CommandException e) {
      node.refuseReload(e.getMessage());
    }
  }

  private ForwardSettingsDocument readSettings() throws CommandException {
    try {
      Either<ImmutableList<ConfigurationFault>, ForwardSettingsDocument> read =
          ForwardSettingsDocument.read(settingsFile);
      if (read.isLeft()) {
        throw new CommandException(settingsFile + " has faults: " + read.getLeft());
      }
      return read.get();
    } catch (IOException e) {
      throw new CommandException("cannot read " + settingsFile + ": " + e.getMessage(), e);
    }
  }
}
