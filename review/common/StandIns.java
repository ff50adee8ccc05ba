import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-ins for the platform's store, its servers and router processes, used by the scripts. */
final class StandIns {
  private StandIns() {}

  static final long START_NANOS = System.nanoTime();
  private static PrintWriter record;

  /** Seconds since the script started. */
  static double now() {
    return (System.nanoTime() - START_NANOS) / 1e9;
  }

  static void openRecord(Path file) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  static void note(String format, Object... values) {
    String line =
        String.format(Locale.ROOT, "%8.3f ", now()) + String.format(Locale.ROOT, format, values);
    synchronized (StandIns.class) {
      record.println(line);
      record.flush();
    }
  }

  static void say(String format, Object... values) {
    note(format, values);
    System.out.println(String.format(Locale.ROOT, format, values));
  }

  static void sleepMillis(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static Thread daemon(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, 256 << 10);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** A port of 127.0.0.1 that was free a moment ago, below the range of outgoing connections. */
  static synchronized int freePort() throws IOException {
    while (true) {
      int port = nextPort++;
      try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return probe.getLocalPort();
      } catch (IOException e) {
        if (port > 31_000) {
          throw e;
        }
      }
    }
  }

  private static int nextPort = 20_000 + new java.util.Random().nextInt(10_000);

  /** The head and body of one HTTP/1.1 message with a length, in chunks or without a body. */
  static final class Message {
    final String start;
    final Map<String, String> headers = new HashMap<>();
    byte[] body = new byte[0];

    Message(String start) {
      this.start = start;
    }

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }

    String target() {
      return start.split(" ")[1];
    }
  }

  /** Reads a message; null if the connection ended before its first byte. */
  static Message read(InputStream in) throws IOException {
    String start = line(in);
    if (start == null) {
      return null;
    }
    Message message = new Message(start);
    for (String line = line(in); ; line = line(in)) {
      if (line == null) {
        throw new IOException("ended in the head");
      }
      if (line.isEmpty()) {
        break;
      }
      int colon = line.indexOf(':');
      message.headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim());
    }
    String length = message.header("content-length");
    String coding = message.header("transfer-encoding");
    if (coding != null && coding.toLowerCase(Locale.ROOT).contains("chunked")) {
      ByteArrayOutputStream whole = new ByteArrayOutputStream();
      while (true) {
        int size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
        if (size == 0) {
          break;
        }
        whole.write(exactly(in, size));
        line(in);
      }
      while (!line(in).isEmpty()) {}
      message.body = whole.toByteArray();
    } else if (length != null) {
      message.body = exactly(in, Integer.parseInt(length));
    }
    return message;
  }

  private static byte[] exactly(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new IOException("ended in the body");
    }
    return bytes;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
    for (int next = in.read(); ; next = in.read()) {
      if (next < 0) {
        if (bytes.size() == 0) {
          return null;
        }
        throw new IOException("ended in a line");
      }
      if (next == '\n') {
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      bytes.write(next);
    }
  }

  /** The platform's store, for reading: listings in pages and watches. */
  static final class Store {
    private final TreeMap<String, String> items = new TreeMap<>();
    private final Map<String, Long> revisions = new HashMap<>();
    private final List<String> events = new ArrayList<>();
    private final List<Long> eventRevisions = new ArrayList<>();
    private long revision = 100;
    final int port;

    Store() throws IOException {
      ServerSocket socket = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
      port = socket.getLocalPort();
      daemon("store", () -> accept(socket));
    }

    synchronized long put(String key, String value) {
      revision++;
      String text =
          Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
      String item =
          "{\"KeyFile\":\"" + key + "\",\"Value\":\"" + text + "\",\"Revision\":" + revision + "}";
      items.put(key, item);
      events.add(item);
      eventRevisions.add(revision);
      notifyAll();
      return revision;
    }

    private void accept(ServerSocket socket) {
      while (true) {
        try {
          Socket connection = socket.accept();
          daemon("store-call", () -> serve(connection));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket connection) {
      try (connection) {
        connection.setTcpNoDelay(true);
        InputStream in = new java.io.BufferedInputStream(connection.getInputStream());
        for (Message call = read(in); call != null; call = read(in)) {
          String body = answer(call.target());
          byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
          String head =
              "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                  + bytes.length
                  + "\r\n\r\n";
          OutputStream out = connection.getOutputStream();
          out.write(concat(head, bytes));
          out.flush();
        }
      } catch (IOException e) {
        // The router has ended or dropped the call.
      }
    }

    private synchronized String answer(String target) throws IOException {
      Map<String, String> query = query(target);
      if (target.startsWith("/v1/kv-range")) {
        String prefix = query.getOrDefault("PathPrefix", "");
        String after = query.get("after");
        StringBuilder page = new StringBuilder();
        for (Map.Entry<String, String> item : items.entrySet()) {
          if (item.getKey().startsWith(prefix)
              && (after == null || item.getKey().compareTo(after) > 0)) {
            page.append(page.length() == 0 ? "" : ",").append(item.getValue());
          }
        }
        return "{\"At\":" + revision + ",\"HasMore\":false,\"items\":[" + page + "]}";
      }
      long after = Long.parseLong(query.get("after"));
      long end = System.nanoTime() + Long.parseLong(query.get("WaitMs")) * 1_000_000L;
      while (revision <= after) {
        long left = (end - System.nanoTime()) / 1_000_000;
        if (left <= 0) {
          break;
        }
        try {
          wait(left);
        } catch (InterruptedException e) {
          throw new IOException(e);
        }
      }
      StringBuilder changes = new StringBuilder();
      for (int i = 0; i < events.size(); i++) {
        if (eventRevisions.get(i) > after) {
          changes.append(changes.length() == 0 ? "" : ",").append(events.get(i));
        }
      }
      return "{\"At\":" + revision + ",\"events\":[" + changes + "]}";
    }

    private static Map<String, String> query(String target) {
      Map<String, String> parameters = new HashMap<>();
      int mark = target.indexOf('?');
      if (mark >= 0) {
        for (String pair : target.substring(mark + 1).split("&")) {
          int equals = pair.indexOf('=');
          parameters.put(
              pair.substring(0, equals),
              java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
      }
      return parameters;
    }
  }

  static byte[] concat(String head, byte[] body) {
    byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
    byte[] whole = new byte[start.length + body.length];
    System.arraycopy(start, 0, whole, 0, start.length);
    System.arraycopy(body, 0, whole, start.length, body.length);
    return whole;
  }

  /** What a server saw of one request. */
  static final class Run {
    final String server;
    final String attempt;
    final double begun;
    volatile double ended = -1;
    volatile String end = "running";

    Run(String server, String attempt, double begun) {
      this.server = server;
      this.attempt = attempt;
      this.begun = begun;
    }
  }

  /** All runs of all servers, by the client's attempt id. */
  static final Map<String, List<Run>> RUNS = new ConcurrentHashMap<>();

  /** How long the work on a request takes, in milliseconds. */
  interface Work {
    long millis(Message request);
  }

  /**
   * A server: works on so many requests at once, queues a few more, refuses the rest with {@code
   * X-Not-Executed}, and drops a request when its connection closes.
   */
  static final class Server {
    private static final int QUEUE = 8;

    final String id;
    final String service;
    final String zone;
    final int slots;
    final int port;
    private final Work work;
    private final Semaphore free;
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger waiting = new AtomicInteger();

    Server(String id, String service, String zone, int slots, Work work) throws IOException {
      this.id = id;
      this.service = service;
      this.zone = zone;
      this.slots = slots;
      this.work = work;
      this.free = new Semaphore(slots, true);
      ServerSocket socket = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
      port = socket.getLocalPort();
      daemon("server-" + id, () -> accept(socket));
    }

    String entry() {
      return "{\"Service\":\""
          + service
          + "\",\"Address\":\"127.0.0.1:"
          + port
          + "\",\"Zone\":\""
          + zone
          + "\",\"Version\":\"v1\",\"Capacity\":"
          + slots
          + ",\"State\":\"ready\",\"WarmupLeftMs\":0,\"Sequence\":1}";
    }

    private void accept(ServerSocket socket) {
      while (true) {
        try {
          Socket connection = socket.accept();
          daemon("serve-" + id, () -> serve(connection));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket connection) {
      try (connection) {
        connection.setTcpNoDelay(true);
        java.io.PushbackInputStream in =
            new java.io.PushbackInputStream(
                new java.io.BufferedInputStream(connection.getInputStream()), 1);
        for (Message request = read(in); request != null; request = read(in)) {
          if (!handle(connection, in, request)) {
            return;
          }
        }
      } catch (IOException e) {
        // The router has closed the connection.
      }
    }

    private boolean handle(Socket connection, java.io.PushbackInputStream in, Message request)
        throws IOException {
      String attempt = request.header("x-attempt-id");
      String expected = request.header("x-expect-instance");
      if (expected != null && !expected.equals(id)) {
        answer(connection, 421, attempt, true, new byte[0]);
        return true;
      }
      long deadline = System.nanoTime() + Long.parseLong(request.header("x-deadline-ms")) * 1_000_000L;
      if (waiting.incrementAndGet() > QUEUE) {
        waiting.decrementAndGet();
        answer(connection, 503, attempt, true, new byte[0]);
        return true;
      }
      boolean taken;
      try {
        taken = free.tryAcquire(deadline - System.nanoTime(), TimeUnit.NANOSECONDS);
      } catch (InterruptedException e) {
        throw new IOException(e);
      } finally {
        waiting.decrementAndGet();
      }
      if (!taken) {
        answer(connection, 503, attempt, true, new byte[0]);
        return true;
      }
      running.incrementAndGet();
      Run run = new Run(id, attempt, now());
      RUNS.computeIfAbsent(attempt, key -> new java.util.concurrent.CopyOnWriteArrayList<>())
          .add(run);
      try {
        long end = System.nanoTime() + work.millis(request) * 1_000_000L;
        boolean late = end > deadline;
        if (!sleepUnlessClosed(connection, in, Math.min(end, deadline))) {
          run.end = "connection closed by the router";
          run.ended = now();
          return false;
        }
        run.end = late ? "504" : "200";
        run.ended = now();
        byte[] body = ("of " + attempt + " by " + id + " 0123456789abcdef").getBytes();
        answer(connection, late ? 504 : 200, attempt, false, body);
        return true;
      } finally {
        running.decrementAndGet();
        free.release();
      }
    }

    /** Works until a time; returns false at once if the connection closes meanwhile. */
    private static boolean sleepUnlessClosed(
        Socket connection, java.io.PushbackInputStream in, long endNanos) throws IOException {
      while (true) {
        long left = (endNanos - System.nanoTime()) / 1_000_000;
        if (left <= 0) {
          connection.setSoTimeout(0);
          return true;
        }
        connection.setSoTimeout((int) Math.max(1, left));
        try {
          int next = in.read();
          if (next < 0) {
            return false;
          }
          in.unread(next);
          sleepMillis(left);
          connection.setSoTimeout(0);
          return true;
        } catch (java.net.SocketTimeoutException e) {
          // Nothing came: go on working.
        } catch (IOException e) {
          return false;
        }
      }
    }

    private void answer(
        Socket connection, int status, String attempt, boolean notRun, byte[] body)
        throws IOException {
      StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
      head.append("X-Attempt-Id: ").append(attempt).append("\r\n");
      head.append(notRun ? "X-Not-Executed: 1\r\n" : "X-Response-Stamp: s." + attempt + "\r\n");
      head.append("X-Instance-Load: ")
          .append(running.get() + "," + waiting.get() + "," + slots + "\r\n");
      head.append("Keep-Alive: timeout=10\r\n");
      head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
      connection.getOutputStream().write(concat(head.toString(), body));
      connection.getOutputStream().flush();
    }
  }

  /** A router process, started as the line {@code run} of deploy/system.toml says. */
  static final class Router {
    final String id;
    final String zone;
    final int callers;
    final int readiness;
    final int peers;
    private final Path folder;
    private final int store;
    private List<String> contacts = List.of();
    volatile Process process;
    volatile double termAt = -1;
    volatile double endedAt = -1;

    Router(String id, String zone, Path folder, int store) throws IOException {
      this.id = id;
      this.zone = zone;
      this.folder = folder;
      this.store = store;
      this.callers = freePort();
      this.readiness = freePort();
      this.peers = freePort();
    }

    void contacts(List<String> addresses) {
      contacts = addresses;
    }

    String peerAddress() {
      return "127.0.0.1:" + peers;
    }

    /** The settings that deploy/settings.json gives for a small site. */
    private String settings() {
      return "{\"id\":\""
          + id
          + "\",\"zone\":\""
          + zone
          + "\",\"processor\":{\"speed\":1,\"share\":0.75},"
          + "\"callers\":\"127.0.0.1:"
          + callers
          + "\",\"readiness\":\"127.0.0.1:"
          + readiness
          + "\",\"peers\":\"127.0.0.1:"
          + peers
          + "\",\"store\":\"127.0.0.1:"
          + store
          + "\",\"contacts\":[\""
          + String.join("\",\"", contacts)
          + "\"],\"stopGrace\":\"6s\",\"storeSilence\":\"4000ms\","
          + "\"configurationWithin\":\"3000ms\",\"drainWithin\":\"3000ms\","
          + "\"regions\":{\""
          + zone
          + "\":\"nordeste\"},"
          + "\"extraAttempts\":{\"ratio\":0.2,\"allowance\":56,\"window\":\"10s\"}}";
    }

    void start() throws IOException {
      Path file = folder.resolve(id + ".json");
      Files.writeString(file, settings());
      List<String> command = new ArrayList<>();
      for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
        if (line.startsWith("run = ")) {
          String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
          for (String word : run.split(" ")) {
            command.add(word.equals("/etc/arrowarch/settings.conf") ? file.toString() : word);
          }
        }
      }
      process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(
                  ProcessBuilder.Redirect.appendTo(folder.resolve(id + ".log").toFile()))
              .start();
      endedAt = -1;
      termAt = -1;
      process.onExit().thenAccept(ended -> endedAt = now());
    }

    void signal(String name) throws IOException {
      try {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }

    /** Whether the router says that it is ready, within a second. */
    boolean isReady() {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress("127.0.0.1", readiness), 900);
        socket.setSoTimeout(900);
        socket
            .getOutputStream()
            .write("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
        Message answer = read(socket.getInputStream());
        return answer != null && answer.status() == 200;
      } catch (IOException e) {
        return false;
      }
    }
  }

  static void killAll(List<Router> routers) {
    for (Router router : routers) {
      if (router.process != null) {
        router.process.destroyForcibly();
      }
    }
    for (Router router : routers) {
      try {
        if (router.process != null) {
          router.process.waitFor(5, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  static void deleteTree(File file) {
    File[] children = file.listFiles();
    if (children != null) {
      for (File child : children) {
        deleteTree(child);
      }
    }
    file.delete();
  }
}
