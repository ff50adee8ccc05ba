package io.arrowarch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.arrowarch.core.config.ConfigurationCodec;
import java.io.File;
import java.io.PrintStream;

/** {@code arrowarch-emulator json}: a document as the platform serves it, for scripts. */
@Parameters(commandDescription = "Prints a configuration document as JSON")
final class JsonCommand implements Command {
  @Parameter(names = "--config", required = true, description = "Configuration document")
  private File config;

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws CommandException {
    out.println(ConfigurationCodec.toJson(Documents.readValid(config).document()));
    return ExitCode.OK;
  }
}
