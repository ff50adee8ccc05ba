package io.arrowarch.cli;

import java.lang.reflect.Proxy;

/**
 * SIGHUP, which ends a Java process that does not handle it. The only class that handles signals,
 * sun.misc.Signal, is supported for this use but warned of by the compiler, hence the reflection.
 */
final class HangUpSignal {
  private static final String SIGNAL = "sun.misc.Signal";
  private static final String HANDLER = "sun.misc.SignalHandler";

  private HangUpSignal() {}

  /** Runs {@code onSignal} at each SIGHUP, on a thread of its own. */
  static void handle(Runnable onSignal) {
    try {
      Class<?> signal = Class.forName(SIGNAL);
      Class<?> handler = Class.forName(HANDLER);
      Object proxy =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, arguments) -> {
                onSignal.run();
                return null;
              });
      Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
      signal.getMethod("handle", signal, handler).invoke(null, hangUp, proxy);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("SIGHUP cannot be handled", e);
    }
  }
}
