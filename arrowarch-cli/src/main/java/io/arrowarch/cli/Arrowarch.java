package io.arrowarch.cli;

import com.google.common.collect.ImmutableMap;
import java.io.File;

/** The program {@code arrowarch}. */
public final class Arrowarch {
  private static final String PROGRAM = "arrowarch";

  private Arrowarch() {}

  /** Runs a subcommand and exits with its {@link ExitCode}. */
  public static void main(String[] arguments) {
    if (ForwardCommand.isPlainStart(arguments)) {
      ForwardCommand command = ForwardCommand.of(new File(arguments[2]));
      System.exit(CommandLine.runCommand(PROGRAM, command, System.out, System.err).code());
    }
    CommandLine commandLine =
        new CommandLine(
            PROGRAM,
            ImmutableMap.of(
                "serve", new ServeCommand(),
                "forward", new ForwardCommand(),
                "check", new CheckCommand(),
                "query", new QueryCommand(),
                "status", new StatusCommand(),
                "trace", new TraceCommand(),
                "losses", new LossesCommand(),
                "explain", new ExplainCommand()));
    System.exit(commandLine.run(arguments, System.out, System.err).code());
  }
}
