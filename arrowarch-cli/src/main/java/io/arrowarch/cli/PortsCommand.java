package io.arrowarch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.arrowarch.emulator.FreePorts;
import java.io.IOException;
import java.io.PrintStream;

/** {@code arrowarch-emulator ports}: prints ports that were free a moment ago, for scripts. */
@Parameters(commandDescription = "Prints free ports, one a line")
final class PortsCommand implements Command {
  @Parameter(names = "--count", description = "How many")
  private int count = 1;

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws CommandException {
    try (FreePorts free = new FreePorts()) {
      for (int i = 0; i < count; i++) {
        out.println(free.getAsInt());
      }
      return ExitCode.OK;
    } catch (IOException e) {
      throw new CommandException("no free port: " + e.getMessage(), e);
    }
  }
}
