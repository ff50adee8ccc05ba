package io.arrowarch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableList;
import io.arrowarch.core.config.ConfigurationFault;
import io.arrowarch.node.NodeSettings;
import io.arrowarch.node.RouterNode;
import io.arrowarch.node.SocketAddressSetting;
import io.vavr.control.Either;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** {@code arrowarch serve}: a router node. */
@Parameters(commandDescription = "Runs a router node until SIGTERM")
final class ServeCommand implements Command {
  @Parameter(names = "--settings", required = true, description = "The node's settings file")
  private File settingsFile;

  @Parameter(names = "--id", description = "In place of the id in the settings file")
  private String id;

  @Parameter(names = "--zone", description = "In place of the zone in the settings file")
  private String zone;

  @Parameter(names = "--callers", description = "In place of the callers' address")
  private String callers;

  @Parameter(names = "--peers", description = "In place of the peers' address")
  private String peers;

  @Parameter(names = "--platform", description = "In place of the platform's address")
  private String platform;

  @Parameter(names = "--contact", description = "In place of the contacts; may be repeated")
  private List<String> contacts = ImmutableList.of();

  @Parameter(names = "--log-format", description = "In place of the log format: text or json")
  private LogFormat logFormat;

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws CommandException {
    SettingsDocument document = readSettings();
    Logging.configure(
        Optional.ofNullable(logFormat).or(document::logFormat).orElse(LogFormat.TEXT));
    RouterNode node = new RouterNode(override(document.toNodeSettings()));
    Processes.runUntilStopped(List.of(node), signalNanos -> node.drain());
    return ExitCode.OK;
  }

  private SettingsDocument readSettings() throws CommandException {
    try {
      Either<ImmutableList<ConfigurationFault>, SettingsDocument> read =
          SettingsDocument.read(settingsFile);
      if (read.isLeft()) {
        throw new CommandException(settingsFile + " has faults: " + read.getLeft());
      }
      return read.get();
    } catch (IOException e) {
      throw new CommandException("cannot read " + settingsFile + ": " + e.getMessage(), e);
    }
  }

  private NodeSettings override(NodeSettings settings) throws CommandException {
    try {
      return new NodeSettings(
          either(id, settings.id(), Function.identity()),
          either(zone, settings.zone(), Function.identity()),
          either(callers, settings.callers(), SocketAddressSetting::parse),
          either(peers, settings.peers(), SocketAddressSetting::parse),
          either(platform, settings.platform(), SocketAddressSetting::parse),
          contacts.isEmpty()
              ? settings.contacts()
              : contacts.stream()
                  .map(SocketAddressSetting::parse)
                  .collect(ImmutableList.toImmutableList()),
          settings.drainGrace(),
          settings.maximumQueries(),
          settings.maximumBodyBytes());
    } catch (IllegalArgumentException e) {
      throw new CommandException(e.getMessage(), e);
    }
  }

  private static <T> T either(String flag, T setting, Function<String, T> parser) {
    return flag == null ? setting : parser.apply(flag);
  }
}
