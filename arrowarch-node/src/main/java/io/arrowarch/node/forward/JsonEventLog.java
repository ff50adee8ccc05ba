package io.arrowarch.node.forward;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.google.common.flogger.FluentLogger;
import com.google.common.hash.Hashing;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.event.RouterEvent;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Writes events as JSON lines through the process's log, whose queue drops routine lines when it is
 * nearly full and all lines when it is full. Of requests that went well one in many is written,
 * with all that belongs to it; each event has a bound of lines a second, and what went over it is
 * counted in the next line.
 */
public final class JsonEventLog implements EventLog {
  private static final JsonFactory FACTORY = new JsonFactory();
  private static final int SAMPLED_ONE_IN = 64;
  private static final int LINES_A_SECOND = 120;
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  /** Lines kept until the log is open. */
  private static final int EARLY_LINES = 500;

  private final String node;
  private final Runnable configure;
  private final Deque<Runnable> early = new ArrayDeque<>();
  private boolean open;
  private final Map<Class<?>, Rate> rates = new HashMap<>();

  private static final class Rate {
    private long second = Long.MIN_VALUE;
    private int lines;
    private long leftOut;
  }

  /**
   * Creates a log of one process.
   *
   * @param configure configures the process's log; run by {@link #prepare}
   */
  public JsonEventLog(String node, Runnable configure) {
    this.node = node;
    this.configure = configure;
  }

  /**
   * Configures the log. This takes a while and may run on any thread; only afterwards may {@link
   * #open} be called.
   */
  public void prepare() {
    configure.run();
  }

  /**
   * Writes some of what came before the log was open, and opens it when all is written.
   *
   * @return whether the log is open
   */
  public boolean open(int lines) {
    for (int line = 0; line < lines && !early.isEmpty(); line++) {
      early.removeFirst().run();
    }
    open = early.isEmpty();
    return open;
  }

  @Override
  public void log(RouterEvent event) {
    if (!event.isImportant() && !isSampled(event.requestId())) {
      return;
    }
    Rate rate = rates.computeIfAbsent(event.getClass(), type -> new Rate());
    long second = System.nanoTime() / NANOS_PER_SECOND;
    if (second != rate.second) {
      rate.second = second;
      rate.lines = 0;
    }
    if (++rate.lines > LINES_A_SECOND) {
      rate.leftOut++;
      return;
    }
    long leftOut = rate.leftOut;
    Instant time = Instant.now();
    rate.leftOut = 0;
    if (open) {
      write(event, leftOut, time);
    } else if (early.size() < EARLY_LINES) {
      early.add(() -> write(event, leftOut, time));
    }
  }

  private void write(RouterEvent event, long leftOut, Instant time) {
    String line = line(event, leftOut, time);
    if (event.isImportant()) {
      Log.logger.atWarning().log("%s", line);
    } else {
      Log.logger.atInfo().log("%s", line);
    }
  }

  /** Field by field: data binding takes a tenth of a second of processor for its first line. */
  private String line(RouterEvent event, long leftOut, Instant time) {
    StringWriter text = new StringWriter();
    try (JsonGenerator json = FACTORY.createGenerator(text)) {
      json.writeStartObject();
      json.writeStringField("time", time.toString());
      json.writeStringField("node", node);
      if (leftOut > 0) {
        json.writeNumberField("leftOut", leftOut);
      }
      json.writeStringField("event", event.eventName());
      json.writeObjectFieldStart("detail");
      event.writeTo(new JsonEventFields(json));
      json.writeEndObject();
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return text.toString();
  }

  /** The same requests at all routers, so that the story of a sampled one is whole. */
  @Override
  public boolean isSampled(String requestId) {
    if (requestId.isEmpty()) {
      return true;
    }
    int hash = Hashing.murmur3_32_fixed().hashString(requestId, StandardCharsets.UTF_8).asInt();
    return Math.floorMod(hash, SAMPLED_ONE_IN) == 0;
  }

  /** Opened by the first line, since it takes a sixth of a process's start. */
  private static final class Log {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  }
}
