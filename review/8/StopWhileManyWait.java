import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Case 8: two routers, servers that are busy all the time, so that requests wait at the routers for a free
 * connection, and are answered well within their time. One router gets SIGTERM. Counts the requests
 * that it had taken and whose connection closed with no answer.
 */
public final class StopWhileManyWait {
  private static final int CALLERS = 260;
  private static final int TIMEOUT_MS = 8_000;
  private static final int WORK_MS = 220;
  private static final int SERVERS = 3;
  private static final int SLOTS = 3;
  private static final double TERM_S = 12;
  private static final double GRACE_S = 6;
  /** The platform asks once a second, and turns away after two misses. */
  private static final double TURNED_AWAY_S = 2;
  private static final double END_S = 22;

  private record Sent(
      String id, int router, double atS, double endS, String outcome) {}

  /** When a server was last at work on a request, from and to; to is 0 while it is at work. */
  private static final Map<String, double[]> WORK = new ConcurrentHashMap<>();

  private static long start;

  private static double nowS() {
    return (System.nanoTime() - start) / 1e9;
  }

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
    start = System.nanoTime();
    Lab.Store store = new Lab.Store();
    for (int i = 0; i < SERVERS; i++) {
      Semaphore slots = new Semaphore(SLOTS, true);
      Lab.Server server =
          new Lab.Server(
              "i-" + i,
              "svc",
              (self, request, socket) -> {
                String id = request.header("x-attempt-id");
                slots.acquire();
                double[] work = {nowS(), 0};
                WORK.put(id, work);
                Thread.sleep(WORK_MS);
                work[1] = nowS();
                slots.release();
                Lab.write(socket, Lab.answer(request, new byte[200]));
                return true;
              });
      store.put("servers/" + server.id, server.entry("ready", SLOTS, 0));
    }
    store.put(
        "op/config",
        Lab.configuration(
            1,
            List.of(Lab.route("/a/", "safe", "svc", TIMEOUT_MS, 2)),
            List.of(Lab.service("svc", 110, "")),
            ""));
    int firstPeers = Lab.freePort();
    for (int i = 0; i < 2; i++) {
      Lab.Router router =
          new Lab.Router("edge-" + (i + 1), store.address(), List.of(firstPeers), i == 0 ? firstPeers : Lab.freePort(), "");
      routers.add(router);
      router.start();
    }
    for (Lab.Router router : routers) {
      if (!router.awaitReady(30_000)) {
        record.line("a router does not become ready");
        return 2;
      }
    }
    Thread.sleep(3_000);
    start = System.nanoTime();
    record.line("ready; TROUBLE=" + (trouble ? 1 : 0) + ", " + CALLERS + " callers, TimeoutMs " + TIMEOUT_MS);
    List<Sent> sent = new CopyOnWriteArrayList<>();
    AtomicBoolean over = new AtomicBoolean();
    AtomicBoolean turnedAway = new AtomicBoolean();
    AtomicLong numbers = new AtomicLong();
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      int own = i;
      Thread caller =
          new Thread(
              () -> {
                while (!over.get()) {
                  int which = turnedAway.get() ? 1 : own % 2;
                  String id = "a" + numbers.incrementAndGet();
                  double at = nowS();
                  String outcome = send(routers.get(which), id);
                  sent.add(new Sent(id, which, at, nowS(), outcome));
                  if (!outcome.startsWith("200")) {
                    pause(300);
                  }
                }
              });
      caller.setDaemon(true);
      caller.start();
      callers.add(caller);
      pause(15);
    }
    sleepUntil(TERM_S);
    double term = nowS();
    if (trouble) {
      routers.get(0).signal("TERM");
      record.line("SIGTERM to edge-1");
      sleepUntil(TERM_S + TURNED_AWAY_S);
      turnedAway.set(true);
      record.line("the platform turns away");
    }
    sleepUntil(END_S);
    over.set(true);
    for (Thread caller : callers) {
      caller.join(TIMEOUT_MS + 2_000);
    }
    int lost = 0;
    for (Sent each : sent) {
      String judged = "";
      boolean closed = each.outcome().startsWith("closed");
      if (closed && each.router() == 0) {
        double[] work = WORK.get(each.id());
        boolean atWork = work != null && (work[1] == 0 || work[1] >= each.endS() - 0.02);
        boolean excused =
            atWork && each.endS() >= term + GRACE_S * 5 / 6 && each.atS() <= term + 3;
        boolean overdue = each.endS() - each.atS() >= TIMEOUT_MS / 1e3;
        boolean inPlan = each.endS() <= term + GRACE_S + 1 && each.endS() >= term;
        boolean taken = work != null || each.endS() - each.atS() > 0.2;
        boolean counts = inPlan && taken && !excused && !overdue;
        judged = counts ? "  LOST" : "  excused";
        lost += counts ? 1 : 0;
      }
      if (closed || !each.outcome().startsWith("200")) {
        double[] work = WORK.get(each.id());
        record.line(String.format("%s to edge-%d sent %.2f s, ended %.2f s: %s%s%s", each.id(), each.router() + 1, each.atS(),
            each.endS(), each.outcome(), work == null ? ", reached no server's slot" : String.format(", at work %.2f to %.2f s", work[0], work[1]), judged));
      }
    }
    long well = sent.stream().filter(each -> each.outcome().startsWith("200")).count();
    double longest = sent.stream().filter(each -> each.outcome().startsWith("200")).mapToDouble(each -> each.endS() - each.atS()).max().orElse(0);
    record.line(sent.size() + " sent, " + well + " answered with 200, the slowest after " + longest + " s");
    routers.get(0).log().lines().filter(line -> line.contains("\"process\"")).forEach(record::line);
    record.line("LOST: " + lost + " requests that edge-1 had taken ended with their connection and no answer");
    return well < CALLERS ? 2 : lost > 0 ? 1 : 0;
  }

  private static void sleepUntil(double seconds) {
    pause((long) ((seconds - nowS()) * 1e3));
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String send(Lab.Router router, String id) {
    try (Socket socket = Lab.connect(router.callers)) {
      socket.setSoTimeout(TIMEOUT_MS + 500);
      Lab.write(socket, Lab.request("GET", "/a/" + id, id, TIMEOUT_MS, 0));
      Lab.Message answer = Lab.readHead(socket.getInputStream());
      if (answer == null) {
        return "closed without an answer";
      }
      byte[] body = Lab.readBody(socket.getInputStream(), answer);
      return answer.status() + (answer.status() == 200 ? "" : " " + new String(body).trim());
    } catch (SocketTimeoutException e) {
      return "no answer";
    } catch (IOException e) {
      return "closed: " + e.getMessage();
    }
  }
}
