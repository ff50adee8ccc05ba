package io.arrowarch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableList;
import io.arrowarch.core.config.ConfigurationFault;
import io.arrowarch.node.forward.ForwardNodeSettings;
import io.arrowarch.node.forward.ForwardingNode;
import io.arrowarch.node.forward.JsonEventLog;
import io.arrowarch.platform.PlatformCallers;
import io.arrowarch.platform.PlatformServers;
import io.arrowarch.platform.PlatformStore;
import io.arrowarch.platform.PlatformWarmUp;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import io.vavr.control.Either;
import io.vertx.core.logging.JULLogDelegateFactory;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;

/** {@code arrowarch forward}: a router on the users' platform, which passes requests on. */
@Parameters(commandDescription = "Runs a router that passes requests on, until SIGTERM")
final class ForwardCommand implements Command {
  private static final String SETTINGS = "--settings";

  /** The property by which Vert.x is told how to log. */
  private static final String VERTX_LOGGING = "vertx.logger-delegate-factory-class-name";

  @Parameter(names = SETTINGS, required = true, description = "The router's settings file")
  private File settingsFile;

  @Parameter(
      names = "--until-warm",
      description = "Exits as soon as the process is warm; for the archive of classes")
  private boolean untilWarm;

  /**
   * Whether arguments are just {@code forward --settings FILE}, as a router is started. Reading
   * them without JCommander saves a tenth of a start's processor time, which on a machine with a
   * quarter of a core is a third of a second.
   */
  static boolean isPlainStart(String[] arguments) {
    return arguments.length == 3
        && arguments[0].equals("forward")
        && arguments[1].equals(SETTINGS)
        && !arguments[2].startsWith("-");
  }

  static ForwardCommand of(File settingsFile) {
    ForwardCommand command = new ForwardCommand();
    command.settingsFile = settingsFile;
    return command;
  }

  /** The event log opens when the process is warm: opening it would hold up the start. */
  @Override
  public void configureLogging() {
    // Netty and Vert.x would open Logback at once; their warnings go to standard error by the JDK.
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    System.setProperty(VERTX_LOGGING, JULLogDelegateFactory.class.getName());
  }

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws CommandException {
    ForwardSettingsDocument document = readSettings();
    ForwardNodeSettings settings = document.toNodeSettings();
    ForwardingNode node =
        new ForwardingNode(
            settings,
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
    Processes.runUntilStopped(List.of(node), settings.transport(), node::drain);
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
