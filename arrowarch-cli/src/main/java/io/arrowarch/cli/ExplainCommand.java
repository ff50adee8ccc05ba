package io.arrowarch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.arrowarch.core.topology.Backend;
import io.arrowarch.core.topology.Configuration;
import io.arrowarch.core.topology.QueryKind;
import io.arrowarch.core.topology.Selection;
import java.io.File;
import java.io.PrintStream;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.List;

/** {@code arrowarch explain}: what the selectors of a document choose, and why not the others. */
@Parameters(commandDescription = "Shows which back ends the selectors of a kind choose, and why")
final class ExplainCommand implements Command {
  private static final int ARGUMENTS = 2;

  @Parameter(description = "KIND FILE", required = true)
  private List<String> arguments;

  @Parameter(names = "--zone", required = true, description = "Zone of the router that asks")
  private String zone;

  @Parameter(names = "--at", description = "Instant such as 2026-12-02T18:00:00Z; now when absent")
  private String at;

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws CommandException {
    if (arguments.size() != ARGUMENTS) {
      throw new CommandException("explain takes a kind and a file");
    }
    Configuration configuration = Documents.readValid(new File(arguments.get(1)));
    QueryKind kind =
        configuration
            .kind(arguments.get(0))
            .orElseThrow(() -> new CommandException("no kind is named '" + arguments.get(0) + "'"));
    if (configuration.document().zones().stream().noneMatch(z -> z.name().equals(zone))) {
      throw new CommandException("no zone is named '" + zone + "'");
    }
    Selection selection = configuration.select(kind, zone, instant());
    for (String shard : selection.byShard().keySet()) {
      for (Backend backend : selection.byShard().get(shard)) {
        out.printf("%s: eligible for shard %s%n", backend.id(), shard);
      }
    }
    selection.exclusionReasons().forEach((id, reason) -> out.printf("%s: %s%n", id, reason));
    return ExitCode.OK;
  }

  private Instant instant() throws CommandException {
    try {
      return at == null ? Instant.now() : Instant.parse(at);
    } catch (DateTimeParseException e) {
      throw new CommandException("--at is not an instant: " + e.getMessage(), e);
    }
  }
}
