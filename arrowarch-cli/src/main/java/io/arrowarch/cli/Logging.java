package io.arrowarch.cli;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;

/** Configures Logback, to which Flogger writes. */
final class Logging {
  private static final String PATTERN = "%d{HH:mm:ss.SSS} %-5level %msg%n";

  private static final int EVENT_QUEUE = 2_048;

  private Logging() {}

  /** Replaces the configuration; call it once, before any work. */
  static void configure(LogFormat format) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setTarget("System.err");
    appender.setEncoder(encoder(context, format));
    appender.start();
    ch.qos.logback.classic.Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(ch.qos.logback.classic.Level.INFO);
    root.addAppender(appender);
  }

  /**
   * Lines as they are given, to standard output, by a thread of their own. Nobody ever waits for
   * room: routine lines are dropped when little is left, all lines when none is.
   */
  static void configureEvents() {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    MessageEncoder encoder = new MessageEncoder();
    encoder.setContext(context);
    encoder.start();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setEncoder(encoder);
    console.start();
    AsyncAppender queue = new AsyncAppender();
    queue.setContext(context);
    queue.setQueueSize(EVENT_QUEUE);
    queue.setDiscardingThreshold(EVENT_QUEUE / 4);
    queue.setNeverBlock(true);
    queue.addAppender(console);
    queue.start();
    ch.qos.logback.classic.Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(ch.qos.logback.classic.Level.INFO);
    root.addAppender(queue);
  }

  private static Encoder<ILoggingEvent> encoder(LoggerContext context, LogFormat format) {
    if (format == LogFormat.JSON) {
      JsonEncoder encoder = new JsonEncoder();
      encoder.setContext(context);
      encoder.start();
      return encoder;
    }
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern(PATTERN);
    encoder.start();
    return encoder;
  }
}
