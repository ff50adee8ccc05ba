import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Stand-ins for the platform of the users' pages, for the scripts of the second review: the store,
 * servers, and callers, with plain sockets on loopback; and router processes, started with the
 * command of the deploy file. Needs nothing but the JDK.
 */
public final class Lab {
  private Lab() {}

  /** A message of HTTP/1.1: its first line, its headers by lower-case name, its body. */
  public static final class Message {
    public String first = "";
    public final Map<String, List<String>> headers = new LinkedHashMap<>();
    public byte[] body = new byte[0];

    public String header(String name) {
      List<String> values = headers.get(name.toLowerCase(Locale.ROOT));
      return values == null ? "" : values.get(0);
    }

    public String path() {
      return first.split(" ")[1];
    }

    public int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(next);
    }
    return null;
  }

  /** Reads the head of a message; null at the end of the connection. */
  public static Message readHead(InputStream in) throws IOException {
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    Message read = new Message();
    read.first = first;
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      String name = line.substring(0, colon).trim().toLowerCase(Locale.ROOT);
      read.headers.computeIfAbsent(name, n -> new ArrayList<>()).add(line.substring(colon + 1).trim());
    }
    return read;
  }

  /** Reads the body of a message with a length or in chunks; throws when it ends early. */
  public static byte[] readBody(InputStream in, Message head) throws IOException {
    if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      while (true) {
        String size = readLine(in);
        if (size == null) {
          throw new IOException("the body ended early");
        }
        int length = Integer.parseInt(size.trim(), 16);
        all.write(readExactly(in, length));
        readLine(in);
        if (length == 0) {
          return all.toByteArray();
        }
      }
    }
    String length = head.header("content-length");
    return length.isEmpty() ? new byte[0] : readExactly(in, Integer.parseInt(length));
  }

  static byte[] readExactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new IOException("the body ended early: " + bytes.length + " of " + length);
    }
    return bytes;
  }

  /** Something that takes connections, each on a thread of its own. */
  public abstract static class Listener implements Closeable {
    private final ServerSocket listening;
    final List<Socket> open = new CopyOnWriteArrayList<>();

    Listener() {
      try {
        listening = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
      Thread thread = new Thread(this::accept, "listener");
      thread.setDaemon(true);
      thread.start();
    }

    public String address() {
      return "127.0.0.1:" + listening.getLocalPort();
    }

    private void accept() {
      try {
        while (true) {
          Socket socket = listening.accept();
          socket.setTcpNoDelay(true);
          open.add(socket);
          Thread thread = new Thread(() -> run(socket), "connection");
          thread.setDaemon(true);
          thread.start();
        }
      } catch (IOException e) {
        // Closed.
      }
    }

    private void run(Socket socket) {
      try (socket) {
        serve(socket);
      } catch (IOException | InterruptedException | RuntimeException e) {
        // The other side has gone.
      } finally {
        open.remove(socket);
      }
    }

    abstract void serve(Socket socket) throws IOException, InterruptedException;

    /** Ends as a process that is killed: its connections are reset, its port is closed. */
    public void crash() {
      try {
        listening.close();
        for (Socket socket : open) {
          socket.setSoLinger(true, 0);
          socket.close();
        }
      } catch (IOException e) {
        // Closed meanwhile.
      }
    }

    @Override
    public void close() {
      try {
        listening.close();
        for (Socket socket : open) {
          socket.close();
        }
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** The platform's store: listings in pages and watches. */
  public static final class Store extends Listener {
    private final TreeMap<String, String> items = new TreeMap<>();
    private final List<String[]> history = new ArrayList<>();
    private long revision = 100;
    private long floor = 100;
    /** While true, calls are accepted and get no answer. */
    public volatile boolean silent;

    /** Writes a value; the return is the acknowledgement. */
    public synchronized long put(String key, String value) {
      revision++;
      String item =
          "{\"KeyFile\":\"" + key + "\",\"Value\":\""
              + Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8))
              + "\",\"Revision\":" + revision + ",\"CreatedAt\":" + revision + ",\"LeaseId\":0}";
      items.put(key, item);
      history.add(new String[] {Long.toString(revision), key, item});
      notifyAll();
      return System.nanoTime();
    }

    public synchronized long delete(String key) {
      revision++;
      items.remove(key);
      String item = "{\"KeyFile\":\"" + key + "\",\"Revision\":" + revision + ",\"Deleted\":true}";
      history.add(new String[] {Long.toString(revision), key, item});
      notifyAll();
      return System.nanoTime();
    }

    @Override
    void serve(Socket socket) throws IOException, InterruptedException {
      InputStream in = socket.getInputStream();
      while (true) {
        Message call = readHead(in);
        if (call == null) {
          return;
        }
        readBody(in, call);
        while (silent) {
          Thread.sleep(50);
        }
        String answer = answer(call.path());
        if (answer.isEmpty()) {
          write(socket, "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n".getBytes());
        } else {
          byte[] body = answer.getBytes(StandardCharsets.UTF_8);
          write(
              socket,
              join(
                  ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                          + body.length + "\r\n\r\n")
                      .getBytes(),
                  body));
        }
      }
    }

    private String answer(String path) throws InterruptedException {
      Map<String, String> query = query(path);
      String prefix = query.getOrDefault("PathPrefix", "");
      if (path.startsWith("/v1/kv-range")) {
        return list(prefix, query.getOrDefault("after", ""));
      }
      return watch(
          prefix,
          Long.parseLong(query.getOrDefault("after", "0")),
          Long.parseLong(query.getOrDefault("WaitMs", "30000")));
    }

    private synchronized String list(String prefix, String after) {
      List<String> page = new ArrayList<>();
      boolean more = false;
      for (Map.Entry<String, String> item : items.tailMap(after, false).entrySet()) {
        if (item.getKey().startsWith(prefix)) {
          if (page.size() == 50) {
            more = true;
            break;
          }
          page.add(item.getValue());
        }
      }
      return "{\"items\":[" + String.join(",", page) + "],\"HasMore\":" + more + ",\"At\":" + revision + "}";
    }

    private synchronized String watch(String prefix, long after, long waitMs)
        throws InterruptedException {
      if (after < floor || after > revision) {
        return "";
      }
      long end = System.nanoTime() + waitMs * 1_000_000;
      while (true) {
        List<String> events = new ArrayList<>();
        for (String[] event : history) {
          if (Long.parseLong(event[0]) > after && event[1].startsWith(prefix)) {
            events.add(event[2]);
          }
        }
        long left = (end - System.nanoTime()) / 1_000_000;
        if (!events.isEmpty() || left <= 0) {
          return "{\"events\":[" + String.join(",", events) + "],\"At\":" + revision + "}";
        }
        wait(left);
      }
    }

    private static Map<String, String> query(String path) {
      Map<String, String> query = new LinkedHashMap<>();
      int mark = path.indexOf('?');
      if (mark >= 0) {
        for (String part : path.substring(mark + 1).split("&")) {
          int equals = part.indexOf('=');
          if (equals > 0) {
            query.put(
                part.substring(0, equals),
                java.net.URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
          }
        }
      }
      return query;
    }
  }

  /** What a server does with one request; false: its connection is closed. */
  public interface Behaviour {
    boolean serve(Server server, Message request, Socket socket)
        throws IOException, InterruptedException;
  }

  /** A server of the platform. */
  public static final class Server extends Listener {
    public final String id;
    public final String service;
    public final List<String> runs = new CopyOnWriteArrayList<>();
    private final Behaviour behaviour;
    private long sequence;

    public Server(String id, String service, Behaviour behaviour) {
      this.id = id;
      this.service = service;
      this.behaviour = behaviour;
    }

    /** The entry that it writes into the store. */
    public String entry(String state, int capacity, long warmUpLeftMs) {
      sequence++;
      return "{\"Service\":\"" + service + "\",\"Address\":\"" + address()
          + "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Capacity\":" + capacity + ",\"State\":\"" + state
          + "\",\"WarmupLeftMs\":" + warmUpLeftMs + ",\"Sequence\":" + sequence + "}";
    }

    public void register(Store store) {
      store.put("servers/" + id, entry("ready", 8, 0));
    }

    @Override
    void serve(Socket socket) throws IOException, InterruptedException {
      InputStream in = socket.getInputStream();
      while (true) {
        Message request = readHead(in);
        if (request == null) {
          return;
        }
        request.body = readBody(in, request);
        String expected = request.header("x-expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
          write(
              socket,
              ("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id + "\r\nX-Attempt-Id: "
                      + request.header("x-attempt-id") + "\r\nContent-Length: 0\r\n\r\n")
                  .getBytes());
          continue;
        }
        runs.add(request.header("x-attempt-id"));
        if (!behaviour.serve(this, request, socket)) {
          return;
        }
      }
    }
  }

  /** A whole answer of a server, with its signature. */
  public static byte[] answer(Message request, byte[] body) {
    String id = request.header("x-attempt-id");
    String head =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Stamp: stamp-" + id
            + "\r\nContent-Length: " + body.length + "\r\n\r\n";
    return join(head.getBytes(StandardCharsets.ISO_8859_1), body);
  }

  public static byte[] join(byte[] first, byte[] second) {
    byte[] all = Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, all, first.length, second.length);
    return all;
  }

  public static void write(Socket socket, byte[] bytes) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(bytes);
    out.flush();
  }

  private static final java.util.Set<Integer> GIVEN = java.util.concurrent.ConcurrentHashMap.newKeySet();
  private static final int FIRST_PORT = 12_000;
  private static final int PORTS = 18_000;

  /** A port that is free now, and not one that the system gives to connections or listeners. */
  public static int freePort() throws IOException {
    while (true) {
      int port = FIRST_PORT + java.util.concurrent.ThreadLocalRandom.current().nextInt(PORTS);
      if (!GIVEN.add(port)) {
        continue;
      }
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (IOException e) {
        // Taken; the next one.
      }
    }
  }

  /** A router process, with the command of the deploy file and settings as the template gives. */
  public static final class Router implements Closeable {
    public final String id;
    public final int callers;
    public final int readiness;
    public final int peers;
    private final Path settings;
    private final Path log;
    private Process process;

    /** With the bounds of a small site: ContactMs 4,000, ConfigApplyMs and DrainMs 3,000. */
    public Router(String id, String store, List<Integer> contactPorts, int peers, String more)
        throws IOException {
      this(id, store, contactPorts, peers, more, 4_000, 3_000);
    }

    public Router(
        String id,
        String store,
        List<Integer> contactPorts,
        int peers,
        String more,
        int contactMs,
        int applyMs)
        throws IOException {
      this.id = id;
      this.callers = freePort();
      this.readiness = freePort();
      this.peers = peers;
      List<String> contacts = new ArrayList<>();
      for (int port : contactPorts) {
        contacts.add("\"127.0.0.1:" + port + "\"");
      }
      Path folder = Files.createTempDirectory("review-router");
      this.settings = folder.resolve("settings.conf");
      this.log = folder.resolve("log");
      Files.writeString(
          settings,
          "{\"id\":\"" + id + "\",\"zone\":\"zone-a\",\"processor\":{\"speed\":1,\"share\":0.75},"
              + "\"callers\":\"127.0.0.1:" + callers + "\",\"readiness\":\"127.0.0.1:" + readiness
              + "\",\"peers\":\"127.0.0.1:" + peers + "\",\"store\":\"" + store + "\",\"contacts\":["
              + String.join(",", contacts) + "],\"stopGrace\":\"6s\",\"storeSilence\":\"" + contactMs
              + "ms\",\"configurationWithin\":\"" + applyMs + "ms\",\"drainWithin\":\"" + applyMs + "ms\","
              + "\"regions\":{\"zone-a\":\"region-a\"}," + more
              + "\"extraAttempts\":{\"ratio\":0.2,\"allowance\":56,\"window\":\"10s\"}}");
    }

    /** The words of the line {@code run} of the deploy file, with this router's settings file. */
    private List<String> command() throws IOException {
      for (String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
        if (line.startsWith("run = ")) {
          String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
          return Arrays.asList(
              run.replace("/etc/arrowarch/settings.conf", settings.toString()).split(" "));
        }
      }
      throw new IOException("no line run");
    }

    public void start() throws IOException {
      process =
          new ProcessBuilder(command())
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
              .start();
      Process started = process;
      Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly, "end"));
    }

    /** Waits until it says that it is ready; false after the time given. */
    public boolean awaitReady(long millis) throws InterruptedException {
      long end = System.nanoTime() + millis * 1_000_000;
      while (System.nanoTime() < end) {
        if (isReady()) {
          return true;
        }
        Thread.sleep(50);
      }
      return false;
    }

    public boolean isReady() {
      try (Socket socket = connect(readiness)) {
        socket.setSoTimeout(1_000);
        write(socket, "GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n".getBytes());
        Message answer = readHead(socket.getInputStream());
        return answer != null && answer.status() == 200;
      } catch (IOException | RuntimeException e) {
        return false;
      }
    }

    public boolean isAlive() {
      return process.isAlive();
    }

    public long pid() {
      return process.pid();
    }

    public void signal(String name) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    public int awaitEnd(long millis) throws InterruptedException {
      return process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    public String log() throws IOException {
      return Files.exists(log) ? Files.readString(log) : "";
    }

    public void kill() throws InterruptedException {
      process.destroyForcibly().waitFor();
    }

    @Override
    public void close() {
      if (process != null) {
        process.destroyForcibly();
      }
      try {
        Files.deleteIfExists(settings);
        Files.deleteIfExists(log);
        Files.deleteIfExists(settings.getParent());
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  public static Socket connect(int port) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
    return socket;
  }

  /** The head of a caller's request. */
  public static byte[] request(
      String method, String path, String attemptId, long deadlineMs, int bodyLength, String... more) {
    StringBuilder head = new StringBuilder();
    head.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: shop.example\r\n");
    head.append("X-Attempt-Id: ").append(attemptId).append("\r\n");
    head.append("X-Deadline-Ms: ").append(deadlineMs).append("\r\n");
    if (bodyLength > 0) {
      head.append("Content-Length: ").append(bodyLength).append("\r\n");
    }
    for (String header : more) {
      head.append(header).append("\r\n");
    }
    return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  /** The limits of a small site's configuration. */
  public static final String LIMITS =
      "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,"
          + "\"IdleTimeoutMs\":15000}";

  public static String route(String path, String kind, String service, int timeoutMs, int attempts) {
    return "{\"Name\":\"r" + path.replace("/", "-") + "\",\"Host\":\"shop.example\",\"PathPrefix\":\"" + path
        + "\",\"Kind\":\"" + kind + "\",\"TimeoutMs\":" + timeoutMs
        + ",\"TargetLatencyMs\":400,\"Priority\":2,\"Service\":\"" + service + "\",\"MaxAttempts\":"
        + attempts + "}";
  }

  public static String service(String name, int connections, String more) {
    return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/healthz\",\"MaxConnections\":" + connections
        + ",\"Protocol\":\"h1\",\"Tls\":false" + more + "}";
  }

  public static String configuration(long version, List<String> routes, List<String> services, String more) {
    return "{\"Version\":" + version + ",\"Routes\":[" + String.join(",", routes) + "],\"Services\":["
        + String.join(",", services) + "]," + more + LIMITS + "}";
  }

  /** What a script writes down; also shown. */
  public static final class Record implements Closeable {
    private final PrintStream out;
    private final long start = System.nanoTime();

    public Record(Path file) throws IOException {
      out = new PrintStream(Files.newOutputStream(file), true, StandardCharsets.UTF_8);
    }

    public synchronized void line(String text) {
      String whole = String.format("%8.3f  %s", (System.nanoTime() - start) / 1e9, text);
      out.println(whole);
      System.out.println(whole);
    }

    @Override
    public void close() {
      out.close();
    }
  }
}
