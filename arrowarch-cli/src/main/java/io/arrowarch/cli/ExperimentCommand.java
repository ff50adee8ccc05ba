package io.arrowarch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.arrowarch.emulator.experiment.Experiment;
import io.arrowarch.emulator.experiment.Experiments;
import io.arrowarch.emulator.experiment.Report;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;

/** {@code arrowarch-emulator experiment}: a measurement in virtual time. */
@Parameters(commandDescription = "Runs an experiment: nordeste, slovakia or scale")
final class ExperimentCommand implements Command {
  @Parameter(description = "NAME", required = true)
  private String name;

  @Parameter(names = "--seed", description = "The same seed gives the same figures")
  private long seed = 1;

  @Parameter(names = "--output", description = "Directory for table.csv, plots and report.html")
  private String output;

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws CommandException {
    Experiment experiment = Experiments.ALL.get(name);
    if (experiment == null) {
      throw new CommandException(
          "no experiment is named '" + name + "'; there are " + Experiments.ALL.keySet());
    }
    Report report = experiment.run(seed);
    out.print(report.table());
    if (output != null) {
      write(report);
    }
    return ExitCode.OK;
  }

  private void write(Report report) throws CommandException {
    try {
      report.write(Path.of(output));
    } catch (IOException e) {
      throw new CommandException("cannot write to " + output + ": " + e.getMessage(), e);
    }
  }
}
