import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Case 4: usual traffic of requests with bodies inside MaxBodyBytes, then one burst inside the
 * dose of the pages, then the usual traffic again. Servers answer every request within 100 ms.
 */
public final class BurstOfBodies {
  private static final int BODY = 262_144;
  private static final int TIMEOUT_MS = 8_000;
  private static final double USUAL_PER_S = 18;
  private static final double BURST_X = 1.7;
  private static final double BURST_S = 3.0;
  private static final double BEFORE_S = 10;
  /** The rules count a machine as slowed up to 5 s after a press of clients. */
  private static final double CHOKED_S = 5;
  private static final double AFTER_S = 6;
  private static final int SERVERS = 14;
  private static final int WORK_MS = 100;

  private record Sent(String id, double atS, String outcome) {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code = 2;
    List<Lab.Router> routers = new ArrayList<>();
    try (Lab.Record record = new Lab.Record(Path.of(arguments[0]))) {
      try {
        code = run(trouble, record, routers);
      } catch (IOException | RuntimeException e) {
        record.line("could not run: " + e);
      }
      routers.forEach(Lab.Router::close);
      record.line("exit " + code);
    }
    System.exit(code);
  }

  private static int run(boolean trouble, Lab.Record record, List<Lab.Router> routers)
      throws Exception {
    Lab.Store store = new Lab.Store();
    List<Lab.Server> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      Lab.Server server =
          new Lab.Server(
              "i-" + i,
              "svc",
              (self, request, socket) -> {
                Thread.sleep(WORK_MS);
                Lab.write(socket, Lab.answer(request, new byte[200]));
                return true;
              });
      server.register(store);
      servers.add(server);
    }
    store.put(
        "op/config",
        Lab.configuration(
            1,
            List.of(Lab.route("/a/", "safe", "svc", TIMEOUT_MS, 2)),
            List.of(Lab.service("svc", 110, "")),
            ""));
    Lab.Router router = new Lab.Router("edge-1", store.address(), List.of(), Lab.freePort(), "");
    routers.add(router);
    router.start();
    if (!router.awaitReady(30_000)) {
      record.line("the router does not become ready");
      return 2;
    }
    Thread.sleep(3_000);
    record.line("ready; TROUBLE=" + (trouble ? 1 : 0) + ", bodies of " + BODY + " bytes, TimeoutMs "
        + TIMEOUT_MS + ", usual " + USUAL_PER_S + "/s" + (trouble ? ", burst x" + BURST_X + " for " + BURST_S + " s" : ""));
    List<Sent> sent = new CopyOnWriteArrayList<>();
    ScheduledExecutorService callers = Executors.newScheduledThreadPool(600);
    double burstEnd = BEFORE_S + BURST_S;
    double end = burstEnd + CHOKED_S + AFTER_S;
    int number = 0;
    for (double at = 0; at < end; ) {
      String id = "a" + number++;
      double when = at;
      callers.schedule(
          () -> sent.add(new Sent(id, when, send(router, id))), (long) (at * 1e6), TimeUnit.MICROSECONDS);
      boolean burst = trouble && at >= BEFORE_S && at < burstEnd;
      at += 1 / (burst ? BURST_X * USUAL_PER_S : USUAL_PER_S);
    }
    Thread.sleep((long) ((end + (TIMEOUT_MS + 1_500) / 1e3) * 1e3));
    sent.stream()
        .sorted((one, other) -> Double.compare(one.atS(), other.atS()))
        .forEach(each -> record.line(String.format("sent at %.2f s  %s  %s", each.atS(), each.id(), each.outcome())));
    int runs = servers.stream().mapToInt(server -> server.runs.size()).sum();
    List<Sent> judged = sent.stream().filter(each -> each.atS() >= burstEnd + CHOKED_S).toList();
    long late = judged.stream().filter(each -> each.outcome().startsWith("no answer")).count();
    long served = judged.stream().filter(each -> each.outcome().startsWith("200")).count();
    long well = sent.stream().filter(each -> each.outcome().startsWith("200")).count();
    record.line(number + " sent, " + well + " answered with 200, " + runs + " run by servers");
    record.line("router alive " + router.isAlive() + ", says it is ready " + router.isReady());
    router.log().lines().filter(line -> line.contains("OutOfMemoryError")).limit(3).forEach(record::line);
    record.line("CONFIG: of " + judged.size() + " requests sent over " + CHOKED_S + " s after the burst, "
        + served + " were served, " + late + " had no answer " + (TIMEOUT_MS + 500)
        + " ms after they were sent, on an open connection");
    if (sent.size() < number || well == 0) {
      return 2;
    }
    // The first: the rule as written. The second: the process runs, but hangs.
    boolean pastTimeout = late >= 8 && 4 * late > judged.size() - served;
    boolean hangs = served == 0 && router.isAlive();
    return pastTimeout || hangs ? 1 : 0;
  }

  private static String send(Lab.Router router, String id) {
    long start = System.nanoTime();
    try (Socket socket = Lab.connect(router.callers)) {
      socket.setSoTimeout(TIMEOUT_MS + 500);
      Lab.write(socket, Lab.request("POST", "/a/x", id, TIMEOUT_MS, BODY));
      Lab.write(socket, new byte[BODY]);
      Lab.Message answer = Lab.readHead(socket.getInputStream());
      if (answer == null) {
        return "closed without an answer";
      }
      Lab.readBody(socket.getInputStream(), answer);
      return answer.status() + " after " + (System.nanoTime() - start) / 1_000_000 + " ms";
    } catch (SocketTimeoutException e) {
      return "no answer after " + (System.nanoTime() - start) / 1_000_000 + " ms";
    } catch (IOException e) {
      return "closed: " + e.getMessage();
    }
  }
}
