package io.arrowarch.cli;

import java.io.PrintStream;

/** A subcommand, whose fields JCommander has filled. */
interface Command {
  /**
   * Runs the command.
   *
   * @param out for what the user asked for
   * @param err for complaints
   * @throws CommandException with a sentence for the user, when the command cannot be carried out
   */
  ExitCode run(PrintStream out, PrintStream err) throws CommandException;

  /** Configures logging before the command runs; short commands write sentences for people. */
  default void configureLogging() {
    Logging.configure(LogFormat.TEXT);
  }
}
