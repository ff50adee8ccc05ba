package io.arrowarch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import io.arrowarch.core.wire.WireCodec;
import java.io.PrintStream;
import java.util.Map;

/** {@code arrowarch status}: what a router knows. */
@Parameters(commandDescription = "Shows a router's configuration, members and back ends")
final class StatusCommand implements Command {
  @Parameter(names = "--node", required = true, description = "IP:PORT of a router")
  private String node;

  @Parameter(names = "--json", description = "Prints the status as JSON")
  private boolean json;

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws CommandException {
    byte[] body = HttpCalls.get(node, "/v1/status").body();
    if (json) {
      out.println(HttpCalls.pretty(body));
      return ExitCode.OK;
    }
    JsonNode status =
        WireCodec.decodeTree(body)
            .getOrElseThrow(failure -> new CommandException(node + " is no router", failure));
    printNode(out, status);
    printMembers(out, status.path("members"));
    printBackends(out, status.path("backends"));
    return ExitCode.OK;
  }

  private static void printNode(PrintStream out, JsonNode status) {
    out.printf(
        "%s in zone %s: %s, %d queries in progress%n",
        status.path("id").asText(),
        status.path("zone").asText(),
        status.path("state").asText(),
        status.path("queriesInProgress").asInt());
    out.printf(
        "configuration: in force %d, accepted %d, voting %s, lease %d ms%n",
        status.path("inForce").path("version").asLong(),
        status.path("accepted").path("version").asLong(),
        status.path("voting").asBoolean() ? "yes" : "no",
        status.path("leaseLeftMillis").asLong());
    JsonNode refused = status.path("refused");
    if (refused.isObject()) {
      out.printf("refused version %d:%n", refused.path("version").asLong());
      for (JsonNode fault : refused.path("faults")) {
        out.printf("  %s: %s%n", fault.path("path").asText(), fault.path("message").asText());
      }
    }
  }

  private static void printMembers(PrintStream out, JsonNode members) {
    out.println("members:");
    for (JsonNode member : members) {
      out.printf(
          "  %-24s %-16s %-22s %s%n",
          member.path("id").asText(),
          member.path("zone").asText(),
          member.path("address").asText(),
          member.path("state").asText());
    }
  }

  private static void printBackends(PrintStream out, JsonNode backends) {
    out.println("back ends:");
    for (JsonNode backend : backends) {
      String reason = backend.path("reason").asText("usable");
      out.printf(
          "  %-24s %-22s in flight %d of %d, running %d, waiting %d: %s%n",
          backend.path("id").asText(),
          backend.path("address").asText(),
          backend.path("inFlight").asInt(),
          backend.path("limit").asInt(),
          backend.path("running").asInt(),
          backend.path("waiting").asInt(),
          reason.equals("null") ? "usable" : reason);
      printKinds(out, backend.path("reasonsByKind"));
    }
  }

  private static void printKinds(PrintStream out, JsonNode reasonsByKind) {
    for (Map.Entry<String, JsonNode> kind : reasonsByKind.properties()) {
      out.printf("      %s: %s%n", kind.getKey(), kind.getValue().asText());
    }
  }
}
