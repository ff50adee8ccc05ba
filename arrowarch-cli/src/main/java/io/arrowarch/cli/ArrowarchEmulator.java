package io.arrowarch.cli;

import com.google.common.collect.ImmutableMap;

/** The program {@code arrowarch-emulator}. */
public final class ArrowarchEmulator {
  private ArrowarchEmulator() {}

  /** Runs a subcommand and exits with its {@link ExitCode}. */
  public static void main(String[] arguments) {
    CommandLine commandLine =
        new CommandLine(
            "arrowarch-emulator",
            ImmutableMap.of(
                "platform", new EmulatedPlatformCommand(),
                "backend", new EmulatedBackendCommand(),
                "deployment", new DeploymentCommand(),
                "addresses", new AddressesCommand(),
                "load", new LoadCommand(),
                "experiment", new ExperimentCommand(),
                "hollow", new HollowCommand(),
                "json", new JsonCommand()));
    System.exit(commandLine.run(arguments, System.out, System.err).code());
  }
}
