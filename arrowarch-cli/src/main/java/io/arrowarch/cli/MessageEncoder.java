package io.arrowarch.cli;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.encoder.EncoderBase;
import java.nio.charset.StandardCharsets;

/**
 * Writes a message and the end of the line, nothing else. A pattern would do the same, but reading
 * it takes a good part of what opening a log takes.
 */
final class MessageEncoder extends EncoderBase<ILoggingEvent> {
  private static final byte[] NOTHING = {};

  @Override
  public byte[] headerBytes() {
    return NOTHING;
  }

  @Override
  public byte[] encode(ILoggingEvent event) {
    return (event.getFormattedMessage() + "\n").getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public byte[] footerBytes() {
    return NOTHING;
  }
}
