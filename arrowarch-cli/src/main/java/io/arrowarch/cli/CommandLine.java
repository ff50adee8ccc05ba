package io.arrowarch.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.Map;

/** Finds the subcommand of a command line and runs it. */
final class CommandLine {
  private final String program;
  private final Map<String, Command> commands;

  CommandLine(String program, Map<String, Command> commands) {
    this.program = program;
    this.commands = commands;
  }

  private static final class GlobalOptions {
    @Parameter(
        names = {"--help", "-h"},
        help = true,
        description = "Shows the commands and their options")
    private boolean help;
  }

  /** Runs a command line; never throws for a mistake of the user. */
  ExitCode run(String[] arguments, PrintStream out, PrintStream err) {
    GlobalOptions global = new GlobalOptions();
    JCommander.Builder builder = JCommander.newBuilder().programName(program).addObject(global);
    selected(arguments).forEach(builder::addCommand);
    JCommander parser = builder.build();
    try {
      parser.parse(arguments);
    } catch (ParameterException e) {
      err.println(program + ": " + e.getMessage());
      err.println("Try '" + program + " --help'.");
      return ExitCode.USAGE;
    }
    if (global.help || parser.getParsedCommand() == null) {
      StringBuilder usage = new StringBuilder();
      parser.getUsageFormatter().usage(usage);
      out.print(usage);
      return global.help ? ExitCode.OK : ExitCode.USAGE;
    }
    return runCommand(program, commands.get(parser.getParsedCommand()), out, err);
  }

  /** Only the command that is named, when one is: building the others takes a while. */
  private Map<String, Command> selected(String[] arguments) {
    if (arguments.length > 0 && commands.containsKey(arguments[0])) {
      return Map.of(arguments[0], commands.get(arguments[0]));
    }
    return commands;
  }

  /** Runs a command whose options are set. */
  static ExitCode runCommand(String program, Command command, PrintStream out, PrintStream err) {
    command.configureLogging();
    try {
      return command.run(out, err);
    } catch (CommandException e) {
      err.println(program + ": " + e.getMessage());
      return ExitCode.USAGE;
    }
  }
}
