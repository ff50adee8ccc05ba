import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * The configuration grows by many routes, some times in a row, and each route gets small requests.
 * Arguments: the folder of the case, a temporary folder, the seed.
 */
final class RoutesCase {
  private static final int ROUTERS = 2;
  private static final int SERVERS = 14;
  private static final int FIRST_ROUTES = 18;

  /** What the site file's big_config adds at once. */
  private static final int ROUTES_EACH_GROWTH = 350;

  private static final int GROWTHS = 3;
  private static final double FIRST_GROWTH_S = 4;
  private static final double GROWTH_GAP_S = 11;
  private static final double REQUESTS_PER_S = 70;
  private static final double LENGTH_S = 56;
  private static final double TIMEOUT_S = 2;
  private static final double LATE_S = 0.5;
  private static final double CONTACT_S = 4;
  private static final long DEADLINE_MS = 4_000;
  private static final int LEAST_LATE = 8;

  /** One attempt of a client. */
  private static final class Attempt {
    final String id;
    final StandIns.Router router;
    final int route;
    volatile double begunAt = -1;
    volatile double connectedAt = -1;
    volatile double endedAt = -1;
    volatile int status;
    volatile String end = "open";

    Attempt(String id, StandIns.Router router, int route) {
      this.id = id;
      this.router = router;
      this.route = route;
    }
  }

  private static final Queue<Attempt> ATTEMPTS = new ConcurrentLinkedQueue<>();
  private static final List<StandIns.Router> ROUTER_LIST = new ArrayList<>();
  private static final boolean[] IN = new boolean[ROUTERS];

  public static void main(String[] arguments) throws Exception {
    Path folder = Path.of(arguments[0]);
    Path temporary = Path.of(arguments[1]);
    Random random = new Random(Long.parseLong(arguments[2]));
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    StandIns.openRecord(folder.resolve("record.txt"));
    StandIns.note("trouble %s, seed %s", trouble, arguments[2]);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> StandIns.killAll(ROUTER_LIST)));
    int code = 2;
    try {
      code = play(temporary, random, trouble);
    } finally {
      StandIns.killAll(ROUTER_LIST);
    }
    System.exit(code);
  }

  private static int play(Path temporary, Random random, boolean trouble) throws Exception {
    StandIns.Store store = new StandIns.Store();
    store.put("op/config", configuration(1, FIRST_ROUTES));
    for (int i = 0; i < SERVERS; i++) {
      StandIns.Server server =
          new StandIns.Server("i-" + i, "redakcia", "ba-hala-a", 3, request -> 100);
      store.put("servers/" + server.id, server.entry());
    }
    List<String> contacts = new ArrayList<>();
    for (int i = 0; i < ROUTERS; i++) {
      StandIns.Router router =
          new StandIns.Router("edge-ba-hala-a-" + (i + 1), "ba-hala-a", temporary, store.port);
      ROUTER_LIST.add(router);
      contacts.add(router.peerAddress());
    }
    for (StandIns.Router router : ROUTER_LIST) {
      router.contacts(contacts);
      router.start();
    }
    double latest = StandIns.now() + 30;
    while (!ROUTER_LIST.stream().allMatch(StandIns.Router::isReady)) {
      if (StandIns.now() > latest) {
        StandIns.say("the routers did not become ready");
        return 2;
      }
      StandIns.sleepMillis(100);
    }
    for (int i = 0; i < ROUTERS; i++) {
      IN[i] = true;
      int number = i;
      StandIns.daemon("readiness-" + i, () -> askReadiness(number));
    }
    StandIns.sleepMillis(2_000);
    double start = StandIns.now();
    StandIns.note("traffic starts");
    int routes = FIRST_ROUTES;
    int growths = 0;
    int next = 0;
    for (long sent = 0; sent / REQUESTS_PER_S < LENGTH_S; sent++) {
      StandIns.sleepMillis((long) ((start + sent / REQUESTS_PER_S - StandIns.now()) * 1e3));
      double elapsed = StandIns.now() - start;
      if (trouble && growths < GROWTHS && elapsed > FIRST_GROWTH_S + growths * GROWTH_GAP_S) {
        growths++;
        routes += ROUTES_EACH_GROWTH;
        store.put("op/config", configuration(1 + growths, routes));
        StandIns.note("version %d has %d routes", 1 + growths, routes);
      }
      // A route is used only once its version is due: ConfigApplyMs after the acknowledgement.
      int due = routes;
      if (growths > 0 && elapsed < FIRST_GROWTH_S + (growths - 1) * GROWTH_GAP_S + 3.2) {
        due = routes - ROUTES_EACH_GROWTH;
      }
      String id = String.format("%016x", random.nextLong());
      Attempt attempt = new Attempt(id, pick(random), next++ % due);
      ATTEMPTS.add(attempt);
      StandIns.daemon("client", () -> send(attempt));
    }
    StandIns.sleepMillis(DEADLINE_MS + 500);
    return judge();
  }

  private static String configuration(int version, int routes) {
    StringBuilder text = new StringBuilder("{\"Version\":" + version + ",\"Routes\":[");
    for (int i = 0; i < routes; i++) {
      text.append(i == 0 ? "" : ",")
          .append("{\"Name\":\"r-" + i + "\",\"Host\":\"kuchyna.example\",\"PathPrefix\":\"/p" + i)
          .append("/\",\"Kind\":\"safe\",\"TimeoutMs\":2000,\"TargetLatencyMs\":400,")
          .append("\"MaxAttempts\":2,\"Priority\":2,\"Service\":\"redakcia\"}");
    }
    return text
        + "],\"Services\":[{\"Name\":\"redakcia\",\"MaxConnections\":110}],"
        + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,"
        + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"Tenants\":[]}";
  }

  /** The platform asks once a second; two misses in a row take a router out. */
  private static void askReadiness(int number) {
    int misses = 0;
    while (true) {
      long begun = System.nanoTime();
      if (ROUTER_LIST.get(number).isReady()) {
        misses = 0;
        setIn(number, true);
      } else if (++misses >= 2) {
        setIn(number, false);
      }
      StandIns.sleepMillis(1_000 - (System.nanoTime() - begun) / 1_000_000);
    }
  }

  private static synchronized void setIn(int number, boolean in) {
    if (IN[number] != in) {
      IN[number] = in;
      StandIns.note("the platform takes %s %s", ROUTER_LIST.get(number).id, in ? "in" : "out");
    }
  }

  /** New connections go to the routers that are in; to all if fewer than half of the zone are. */
  private static synchronized StandIns.Router pick(Random random) {
    List<StandIns.Router> in = new ArrayList<>();
    for (int i = 0; i < ROUTERS; i++) {
      if (IN[i]) {
        in.add(ROUTER_LIST.get(i));
      }
    }
    List<StandIns.Router> from = 2 * in.size() < ROUTERS ? ROUTER_LIST : in;
    return from.get(random.nextInt(from.size()));
  }

  private static void send(Attempt attempt) {
    attempt.begunAt = StandIns.now();
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress("127.0.0.1", attempt.router.callers), 1_000);
      attempt.connectedAt = StandIns.now();
      socket.setSoTimeout((int) DEADLINE_MS);
      String request =
          "GET /p"
              + attempt.route
              + "/x HTTP/1.1\r\nHost: kuchyna.example\r\nX-Attempt-Id: "
              + attempt.id
              + "\r\nX-Deadline-Ms: "
              + DEADLINE_MS
              + "\r\n\r\n";
      socket.getOutputStream().write(request.getBytes());
      socket.getOutputStream().flush();
      StandIns.Message answer = StandIns.read(socket.getInputStream());
      attempt.status = answer == null ? 0 : answer.status();
      attempt.end = answer == null ? "closed without an answer" : "answered";
    } catch (SocketTimeoutException e) {
      attempt.end = attempt.connectedAt < 0 ? "not connected" : "no answer until the deadline";
    } catch (IOException e) {
      attempt.end = attempt.connectedAt < 0 ? "not connected" : "closed without an answer";
    }
    attempt.endedAt = StandIns.now();
  }

  /**
   * Rule CONFIG: of the requests at machines in touch that are still unanswered at their route's
   * TimeoutMs, eight or more, and more than half, remain without an answer half a second later.
   * Nothing is done to the routers, the store or the servers at any time.
   */
  private static int judge() {
    int good = 0;
    int unconnected = 0;
    int other = 0;
    int late = 0;
    int veryLate = 0;
    for (Attempt attempt : ATTEMPTS) {
      StandIns.note(
          "request %s for route %d at %s begun %.3f ended %.3f status %d %s; ran %d times",
          attempt.id,
          attempt.route,
          attempt.router.id,
          attempt.begunAt,
          attempt.endedAt,
          attempt.status,
          attempt.end,
          StandIns.RUNS.getOrDefault(attempt.id, List.of()).size());
      if (attempt.status == 200) {
        good++;
      } else if (attempt.connectedAt < 0) {
        unconnected++;
      } else {
        other++;
      }
      double took =
          attempt.end.startsWith("no answer") ? 1e9 : attempt.endedAt - attempt.begunAt;
      if (attempt.begunAt > CONTACT_S && attempt.connectedAt >= 0 && took > TIMEOUT_S) {
        late++;
        veryLate += took > TIMEOUT_S + LATE_S ? 1 : 0;
      }
    }
    for (StandIns.Router router : ROUTER_LIST) {
      StandIns.say(
          "router %s: process alive %s, ready %s",
          router.id, router.process.isAlive(), router.isReady());
    }
    StandIns.say(
        "answered with 200 %d, otherwise %d, not connected %d; unanswered at TimeoutMs %d, 0.5 s later"
            + " %d",
        good, other, unconnected, late, veryLate);
    if (good == 0) {
      return 2;
    }
    return veryLate >= LEAST_LATE && 2 * veryLate > late ? 1 : 0;
  }
}
