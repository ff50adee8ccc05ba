import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Case 4: another writer leaves one entry under servers/ that can't be read. After it the operator
 * changes the configuration as usual. Counts the requests that routers handle as only the older
 * version allows.
 */
public final class OtherWriter {
  private static final int TIMEOUT_MS = 2_000;
  private static final int APPLY_MS = 3_000;
  private static final int CHANGES = 3;
  private static final int PROBES = 40;
  private static final int DEPTH = 990;

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

  /** Version 1 has the route /a/ to the service old; each change adds a route, and moves /a/ to new. */
  private static String configuration(int changes) {
    List<String> routes = new ArrayList<>();
    routes.add(Lab.route("/a/", "safe", changes == 0 ? "old" : "new", TIMEOUT_MS, 2));
    for (int i = 1; i <= changes; i++) {
      routes.add(Lab.route("/added" + i + "/", "safe", "new", TIMEOUT_MS, 2));
    }
    return Lab.configuration(
        1 + 4L * changes, routes, List.of(Lab.service("old", 110, ""), Lab.service("new", 110, "")), "");
  }

  private static int run(boolean trouble, Lab.Record record, List<Lab.Router> routers)
      throws Exception {
    Lab.Store store = new Lab.Store();
    Lab.Behaviour good =
        (self, request, socket) -> {
          Lab.write(socket, Lab.answer(request, self.service.getBytes()));
          return true;
        };
    for (int i = 0; i < 6; i++) {
      new Lab.Server("i-" + i, i < 3 ? "old" : "new", good).register(store);
    }
    store.put("op/config", configuration(0));
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
    // ContactMs is 4,000: both are in touch from here on.
    Thread.sleep(6_000);
    record.line("ready; TROUBLE=" + (trouble ? 1 : 0) + ", ConfigApplyMs " + APPLY_MS);
    int before = probe(routers, record, "/a/x", "old", "before");
    if (before > 0) {
      return 2;
    }
    if (trouble) {
      String entry = "{\"Service\":".repeat(DEPTH) + "1" + "}".repeat(DEPTH);
      store.put("servers/other-writer", entry);
      record.line("another writer's entry of " + entry.length() + " bytes is in the store, key servers/other-writer");
    }
    Thread.sleep(2_000);
    int older = 0;
    int asked = 0;
    for (int change = 1; change <= CHANGES; change++) {
      store.put("op/config", configuration(change));
      record.line("version " + (1 + 4 * change) + " is acknowledged");
      Thread.sleep(APPLY_MS + 500);
      older += probe(routers, record, "/added" + change + "/x", "new", "route of version " + (1 + 4 * change));
      older += probe(routers, record, "/a/x", "new", "moved route");
      asked += 2 * PROBES;
    }
    for (Lab.Router router : routers) {
      record.line(router.id + " alive " + router.isAlive() + ", says it is ready " + router.isReady());
    }
    record.line("CONFIG: of " + asked + " requests sent more than ConfigApplyMs after a version's acknowledgement, "
        + older + " were handled as only an older one allows");
    // Not judged: what routers meet that start while the entry is there.
    for (Lab.Router router : routers) {
      router.kill();
    }
    for (Lab.Router router : routers) {
      router.start();
    }
    boolean first = routers.get(0).awaitReady(12_000);
    record.line("not judged: both started again, ready within 12 s: " + first + ", " + routers.get(1).isReady());
    return older > 0 ? 1 : 0;
  }

  /** Sends requests to the routers in turn; returns how many are not handled by the expected service. */
  private static int probe(
      List<Lab.Router> routers, Lab.Record record, String path, String expected, String what)
      throws InterruptedException {
    int other = 0;
    Map<String, Integer> outcomes = new TreeMap<>();
    for (int i = 0; i < PROBES; i++) {
      Lab.Router router = routers.get(i % routers.size());
      String outcome;
      try (Socket socket = Lab.connect(router.callers)) {
        socket.setSoTimeout(TIMEOUT_MS + 500);
        String id = what.replace(' ', '-') + "-" + i;
        Lab.write(socket, Lab.request("GET", path, id, TIMEOUT_MS, 0));
        Lab.Message answer = Lab.readHead(socket.getInputStream());
        String body = new String(Lab.readBody(socket.getInputStream(), answer));
        outcome = answer.status() == 200 ? "run by " + body : answer.status() + " " + body.trim();
      } catch (IOException | RuntimeException e) {
        outcome = e.toString();
      }
      outcomes.merge(router.id + ": " + outcome, 1, Integer::sum);
      boolean olderService = outcome.startsWith("run by ") && !outcome.equals("run by " + expected);
      other += olderService || outcome.startsWith("404") ? 1 : 0;
      Thread.sleep(10);
    }
    record.line(what + ", GET " + path + ": " + outcomes);
    return other;
  }
}
