package io.arrowarch.cli;

import com.google.common.collect.ImmutableList;
import com.google.common.io.Files;
import io.arrowarch.core.config.ConfigurationCodec;
import io.arrowarch.core.config.ConfigurationDocument;
import io.arrowarch.core.config.ConfigurationFault;
import io.arrowarch.core.topology.Configuration;
import io.vavr.control.Either;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;

/** Reads configuration documents from files. */
final class Documents {
  private Documents() {}

  /** Reads a document; faults in it are the result, an unreadable file is an exception. */
  static Either<ImmutableList<ConfigurationFault>, ConfigurationDocument> read(File file)
      throws CommandException {
    return ConfigurationCodec.fromYaml(text(file));
  }

  /** Reads a document that must be free of faults. */
  static Configuration readValid(File file) throws CommandException {
    Either<ImmutableList<ConfigurationFault>, ConfigurationDocument> document = read(file);
    if (document.isLeft()) {
      throw new CommandException(
          file
              + " has faults:\n"
              + document.getLeft().stream()
                  .map(fault -> "  " + fault)
                  .collect(Collectors.joining("\n")));
    }
    return Configuration.compile(document.get());
  }

  private static String text(File file) throws CommandException {
    try {
      return Files.asCharSource(file, StandardCharsets.UTF_8).read();
    } catch (IOException e) {
      throw new CommandException("cannot read " + file + ": " + e.getMessage(), e);
    }
  }
}
