package io.arrowarch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableList;
import io.arrowarch.core.config.ConfigurationDocument;
import io.arrowarch.core.config.ConfigurationFault;
import io.arrowarch.core.config.ConfigurationSuccession;
import io.vavr.control.Either;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;

/** {@code arrowarch check}: validates a configuration document or a settings file. */
@Parameters(commandDescription = "Checks a configuration document, or a settings file")
final class CheckCommand implements Command {
  @Parameter(description = "FILE", required = true)
  private String path;

  @Parameter(names = "--settings", description = "The file is a node's settings")
  private boolean settings;

  @Parameter(
      names = "--forward-settings",
      description = "The file is the settings of a router that passes requests on")
  private boolean forwardSettings;

  @Parameter(
      names = "--previous",
      description = "The document in force, to check that FILE can follow it")
  private File previous;

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws CommandException {
    File file = new File(path);
    ImmutableList<ConfigurationFault> faults = check(file);
    if (faults.isEmpty()) {
      out.println(file + ": no faults");
      return ExitCode.OK;
    }
    faults.forEach(out::println);
    return ExitCode.FAULTS;
  }

  private ImmutableList<ConfigurationFault> check(File file) throws CommandException {
    if (forwardSettings) {
      return checkForwardSettings(file);
    }
    return settings ? checkSettings(file) : checkConfiguration(file);
  }

  private static ImmutableList<ConfigurationFault> checkForwardSettings(File file)
      throws CommandException {
    try {
      return ForwardSettingsDocument.read(file).fold(faults -> faults, valid -> ImmutableList.of());
    } catch (IOException e) {
      throw new CommandException("cannot read " + file + ": " + e.getMessage(), e);
    }
  }

  private ImmutableList<ConfigurationFault> checkConfiguration(File file) throws CommandException {
    Either<ImmutableList<ConfigurationFault>, ConfigurationDocument> document =
        Documents.read(file);
    if (document.isLeft()) {
      return document.getLeft();
    }
    if (previous == null) {
      return ImmutableList.of();
    }
    return ConfigurationSuccession.faults(Documents.readValid(previous).document(), document.get());
  }

  private ImmutableList<ConfigurationFault> checkSettings(File file) throws CommandException {
    try {
      return SettingsDocument.read(file).fold(faults -> faults, valid -> ImmutableList.of());
    } catch (IOException e) {
      throw new CommandException("cannot read " + file + ": " + e.getMessage(), e);
    }
  }
}
