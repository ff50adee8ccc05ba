package io.arrowarch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import io.arrowarch.core.wire.WireCodec;
import io.arrowarch.node.CallerProtocol;
import io.vavr.control.Try;
import java.io.PrintStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** {@code arrowarch query}: sends one query. Gets a ticket by itself for a non-repeatable kind. */
@Parameters(commandDescription = "Sends one query and prints the answer")
final class QueryCommand implements Command {
  private static final int TICKET_REQUIRED_STATUS = 428;
  private static final int OK_STATUS = 200;

  @Parameter(description = "KIND", required = true)
  private String kind;

  @Parameter(names = "--node", required = true, description = "IP:PORT of a router")
  private String node;

  @Parameter(names = "--key", description = "Document key of a fetch or a post")
  private String key;

  @Parameter(names = "--limit", description = "The most hits wanted")
  private Integer limit;

  @Parameter(names = "--deadline-millis", description = "How long to wait for the answer")
  private Long deadlineMillis;

  @Parameter(names = "--ticket", description = "A ticket from an earlier answer")
  private String ticket;

  @Parameter(names = "--request-id", description = "Repeated in the answer")
  private String requestId;

  @Parameter(names = "--query", description = "JSON passed on to the back ends")
  private String query = "{}";

  @Override
  public ExitCode run(PrintStream out, PrintStream err) throws CommandException {
    Try<JsonNode> parsed = WireCodec.decodeTree(query.getBytes(StandardCharsets.UTF_8));
    if (parsed.isFailure()) {
      throw new CommandException("--query is not JSON: " + parsed.getCause().getMessage());
    }
    byte[] body =
        WireCodec.encode(
            new CallerProtocol.RequestBody(
                Optional.ofNullable(key), Optional.ofNullable(limit), Optional.of(parsed.get())));
    HttpResponse<byte[]> response = post(body, Optional.ofNullable(ticket));
    if (response.statusCode() == TICKET_REQUIRED_STATUS) {
      response = post(body, response.headers().firstValue(CallerProtocol.TICKET_HEADER));
    }
    out.println(HttpCalls.pretty(response.body()));
    return response.statusCode() == OK_STATUS ? ExitCode.OK : ExitCode.FAULTS;
  }

  private HttpResponse<byte[]> post(byte[] body, Optional<String> withTicket)
      throws CommandException {
    Map<String, String> headers = new HashMap<>();
    withTicket.ifPresent(value -> headers.put(CallerProtocol.TICKET_HEADER, value));
    if (requestId != null) {
      headers.put(CallerProtocol.REQUEST_ID_HEADER, requestId);
    }
    if (deadlineMillis != null) {
      headers.put(CallerProtocol.DEADLINE_HEADER, Long.toString(deadlineMillis));
    }
    return HttpCalls.post(node, CallerProtocol.QUERY_PATH + kind, headers, body);
  }
}
