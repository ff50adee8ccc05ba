package io.arrowarch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.arrowarch.emulator.FreeAddresses;
import java.io.IOException;
import java.io.PrintStream;

/** {@code arrowarch-emulator addresses}: prints addresses that were free a moment ago. */
@Parameters(commandDescription = "Prints free loopback addresses, one a line")
final class AddressesCommand implements Command {
  @Parameter(names = "--count", description = "How many")
  private int count = 1;

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws CommandException {
    try (FreeAddresses free = new FreeAddresses()) {
      for (int i = 0; i < count; i++) {
        out.println(free.get());
      }
      return ExitCode.OK;
    } catch (IOException e) {
      throw new CommandException("no free port: " + e.getMessage(), e);
    }
  }
}
