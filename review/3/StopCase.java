import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Planned stops of two of a zone's three routers, a second apart, under a steady load of requests
 * for one server. Arguments: the folder of the case, a temporary folder, the seed.
 */
final class StopCase {
  private static final int ROUTERS = 3;
  private static final int SERVERS = 20;

  /** 15 a second at each router; the site file's traffic is 9.2 a second at each. */
  private static final double RATE_PER_S = 45;

  /** The work of conciliacao: a mean of 220 ms, at most 1,300 ms. */
  private static final double MEDIAN_WORK_MS = 195;

  private static final double WORK_SPREAD = 0.5;
  private static final double LONGEST_WORK_MS = 1_300;
  private static final double LENGTH_S = 78;
  private static final double FIRST_STOP_S = 4;
  private static final int ROUNDS = 5;
  private static final double ROUND_S = 15;
  private static final double STOP_GAP_S = 1;

  /** Bounds of the small sites. */
  private static final double GRACE_S = 6;

  private static final double LOSS_SLACK_S = 0.2;
  private static final long DEADLINE_MS = 8_000;
  private static final double CUT_OFF_SENT_S = 3;

  /** One attempt of a client. */
  private static final class Attempt {
    final String id;
    final StandIns.Router router;
    double sentAt = -1;
    double endedAt = -1;
    int status;
    String end = "";

    Attempt(String id, StandIns.Router router) {
      this.id = id;
      this.router = router;
    }
  }

  private static final Queue<Attempt> ATTEMPTS = new ConcurrentLinkedQueue<>();
  private static final List<StandIns.Router> ROUTER_LIST = new ArrayList<>();

  /** Which routers get new connections: out after two misses, in again after one 200. */
  private static final boolean[] IN = new boolean[ROUTERS];

  /** When each router got a SIGTERM. */
  private static final List<List<Double>> STOPS = new ArrayList<>();

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
    store.put("op/config", configuration());
    Random workRandom = new Random(random.nextLong());
    for (int i = 0; i < SERVERS; i++) {
      StandIns.Server server =
          new StandIns.Server(
              "i-" + i,
              "tesouraria",
              "recife-b",
              2,
              request -> {
                synchronized (workRandom) {
                  double spread = Math.exp(WORK_SPREAD * workRandom.nextGaussian());
                  return (long) Math.min(LONGEST_WORK_MS, MEDIAN_WORK_MS * spread);
                }
              });
      store.put("servers/" + server.id, server.entry());
    }
    List<String> contacts = new ArrayList<>();
    for (int i = 0; i < ROUTERS; i++) {
      StandIns.Router router =
          new StandIns.Router("edge-recife-b-" + (i + 1), "recife-b", temporary, store.port);
      ROUTER_LIST.add(router);
      STOPS.add(new java.util.concurrent.CopyOnWriteArrayList<>());
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
    if (trouble) {
      StandIns.daemon(
          "operator",
          () -> {
            for (int round = 0; round < ROUNDS; round++) {
              stopTwo(start + FIRST_STOP_S + round * ROUND_S);
            }
          });
    }
    long sent = 0;
    while (StandIns.now() - start < LENGTH_S) {
      double due = start + sent / RATE_PER_S;
      StandIns.sleepMillis((long) ((due - StandIns.now()) * 1e3));
      StandIns.Router router = pick(random);
      String id = String.format("%016x", random.nextLong());
      Attempt attempt = new Attempt(id, router);
      ATTEMPTS.add(attempt);
      StandIns.daemon("client", () -> send(attempt));
      sent++;
    }
    StandIns.sleepMillis(DEADLINE_MS + 500);
    return judge();
  }

  private static String configuration() {
    return "{\"Version\":1,\"Routes\":[{\"Name\":\"conciliacao\",\"Host\":\"loja.example\","
        + "\"PathPrefix\":\"/refunds/\",\"Kind\":\"safe\",\"TimeoutMs\":8000,"
        + "\"TargetLatencyMs\":800,\"MaxAttempts\":2,\"Priority\":2,\"Service\":\"tesouraria\"}],"
        + "\"Services\":[{\"Name\":\"tesouraria\",\"MaxConnections\":110}],"
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

  private static void stopTwo(double first) {
    for (int i = 0; i < 2; i++) {
      StandIns.sleepMillis((long) ((first + i * STOP_GAP_S - StandIns.now()) * 1e3));
      StandIns.Router router = ROUTER_LIST.get(i);
      try {
        router.termAt = StandIns.now();
        STOPS.get(i).add(router.termAt);
        StandIns.note("SIGTERM to %s", router.id);
        router.signal("TERM");
      } catch (IOException e) {
        StandIns.note("no signal: %s", e);
      }
      StandIns.daemon("restart-" + i, () -> restart(router));
    }
  }

  /** SIGKILL after the grace; a new process a second after the end of the old one. */
  private static void restart(StandIns.Router router) {
    double term = router.termAt;
    while (router.endedAt < 0) {
      if (StandIns.now() > term + GRACE_S) {
        StandIns.note("SIGKILL to %s", router.id);
        router.process.destroyForcibly();
      }
      StandIns.sleepMillis(20);
    }
    StandIns.note(
        "%s has ended, %.2f s after its SIGTERM", router.id, router.endedAt - term);
    StandIns.sleepMillis(1_000);
    try {
      router.start();
      StandIns.note("%s is started again", router.id);
    } catch (IOException e) {
      StandIns.note("no start: %s", e);
    }
  }

  private static void send(Attempt attempt) {
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress("127.0.0.1", attempt.router.callers), 1_000);
      socket.setSoTimeout((int) DEADLINE_MS);
      String request =
          "GET /refunds/"
              + attempt.id
              + " HTTP/1.1\r\nHost: loja.example\r\nX-Attempt-Id: "
              + attempt.id
              + "\r\nX-Deadline-Ms: "
              + DEADLINE_MS
              + "\r\n\r\n";
      socket.getOutputStream().write(request.getBytes());
      socket.getOutputStream().flush();
      attempt.sentAt = StandIns.now();
      StandIns.Message answer = StandIns.read(socket.getInputStream());
      attempt.endedAt = StandIns.now();
      if (answer == null) {
        attempt.end = "closed without an answer";
      } else {
        attempt.status = answer.status();
        attempt.end = "answered";
      }
    } catch (java.net.SocketTimeoutException e) {
      attempt.endedAt = StandIns.now();
      attempt.end = attempt.sentAt < 0 ? "not connected" : "no answer until the deadline";
    } catch (IOException e) {
      attempt.endedAt = StandIns.now();
      attempt.end = attempt.sentAt < 0 ? "not connected" : "closed without a whole answer: " + e;
    }
  }

  /** The last SIGTERM of the attempt's router before the attempt ended; long ago if none. */
  private static double lastStop(Attempt attempt) {
    double last = -1e9;
    for (double stop : STOPS.get(ROUTER_LIST.indexOf(attempt.router))) {
      last = stop <= attempt.endedAt ? stop : last;
    }
    return last;
  }

  /**
   * Rule LOST around a SIGTERM. Excuses: the server broke off (these never do); the deadline or the
   * route's timeout was reached; or the server was still at work in the last sixth of the grace on
   * a request sent at most 3 s after the SIGTERM.
   */
  private static int judge() {
    int answered = 0;
    int refused = 0;
    int unconnected = 0;
    int excused = 0;
    int lost = 0;
    for (Attempt attempt : ATTEMPTS) {
      List<StandIns.Run> runs = StandIns.RUNS.getOrDefault(attempt.id, List.of());
      StringBuilder ran = new StringBuilder();
      for (StandIns.Run run : runs) {
        ran.append(
            String.format(" [%s from %.3f to %.3f: %s]", run.server, run.begun, run.ended, run.end));
      }
      StandIns.note(
          "attempt %s at %s sent %.3f ended %.3f status %d %s; ran%s",
          attempt.id,
          attempt.router.id,
          attempt.sentAt,
          attempt.endedAt,
          attempt.status,
          attempt.end,
          ran);
      if (attempt.status == 200) {
        answered++;
      } else if (attempt.status != 0) {
        refused++;
      } else if (attempt.sentAt < 0) {
        unconnected++;
      } else if (attempt.end.startsWith("closed")) {
        double term = lastStop(attempt);
        boolean around = attempt.endedAt <= term + GRACE_S + 1;
        boolean passedOn = !runs.isEmpty();
        boolean read = passedOn || attempt.endedAt - attempt.sentAt > LOSS_SLACK_S;
        boolean outOfTime = attempt.endedAt - attempt.sentAt >= DEADLINE_MS / 1e3;
        boolean atWorkAtTheEnd =
            attempt.sentAt <= term + CUT_OFF_SENT_S
                && attempt.endedAt >= term + GRACE_S * 5 / 6
                && runs.stream().anyMatch(run -> run.begun <= attempt.endedAt);
        if (!around || !read || outOfTime) {
          StandIns.note("  not judged: around %s, read %s, out of time %s", around, read, outOfTime);
        } else if (atWorkAtTheEnd) {
          excused++;
          StandIns.note("  excused: sent %.2f s after the SIGTERM", attempt.sentAt - term);
        } else {
          lost++;
          StandIns.note(
              "  LOST: sent %.2f s after the SIGTERM, cut %.2f s after it, passed on: %s",
              attempt.sentAt - term, attempt.endedAt - term, passedOn);
        }
      }
    }
    StandIns.say(
        "attempts %d, answered with 200 %d, other status %d, not connected %d, excused %d, LOST %d",
        ATTEMPTS.size(), answered, refused, unconnected, excused, lost);
    if (answered == 0) {
      return 2;
    }
    return lost > 0 ? 1 : 0;
  }
}
