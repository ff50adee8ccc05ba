package io.arrowarch.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Keeps Logback silent until {@link Logging} configures it. Without it Logback would look for files
 * and write every line of the libraries' start.
 */
public final class QuietConfigurator extends ContextAwareBase implements Configurator {
  @Override
  public ExecutionStatus configure(LoggerContext context) {
    context.getLogger(Logger.ROOT_LOGGER_NAME).setLevel(Level.WARN);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
