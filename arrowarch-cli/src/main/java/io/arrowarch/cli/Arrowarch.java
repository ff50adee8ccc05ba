package io.arrowarch.cli;

import com.google.common.collect.ImmutableMap;

/** The program {@code arrowarch}. */
public final class Arrowarch {
  private Arrowarch() {}

  /** Runs a subcommand and exits with its {@link ExitCode}. */
  public static void main(String[] arguments) {
    CommandLine commandLine =
        new CommandLine(
            "arrowarch",
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
