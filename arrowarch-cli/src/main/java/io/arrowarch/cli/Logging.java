package io.arrowarch.cli;

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
