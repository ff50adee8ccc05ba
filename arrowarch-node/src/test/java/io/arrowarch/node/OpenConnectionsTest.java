package io.arrowarch.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Handler;
import io.vertx.core.http.HttpConnection;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.Test;

/** When a stopping router may close its port. */
public final class OpenConnectionsTest {
  private static final long QUIET = Duration.ofSeconds(1).toNanos();

  private final AtomicLong clock = new AtomicLong();
  private final AtomicReference<Handler<Void>> onClose = new AtomicReference<>();

  @Test
  public void aCallerWhoseLastConnectionHasJustClosedMayBeOpeningTheNext() {
    OpenConnections connections = new OpenConnections(clock::get);
    connections.onOpened(connection());
    clock.addAndGet(2 * QUIET);
    onClose.get().handle(null);

    assertThat(connections.areQuietFor(QUIET)).isFalse();
    clock.addAndGet(QUIET);
    assertThat(connections.areQuietFor(QUIET)).isTrue();
  }

  @Test
  public void anOpenConnectionThatIsNotUsedIsQuiet() {
    OpenConnections connections = new OpenConnections(clock::get);
    connections.onOpened(connection());
    clock.addAndGet(QUIET / 2);
    connections.onUsed();
    clock.addAndGet(QUIET / 2);
    assertThat(connections.areQuietFor(QUIET)).isFalse();
    clock.addAndGet(QUIET / 2);

    assertThat(connections.areQuietFor(QUIET)).isTrue();
  }

  /** A connection that only keeps its close handler. */
  private HttpConnection connection() {
    return (HttpConnection)
        Proxy.newProxyInstance(
            HttpConnection.class.getClassLoader(),
            new Class<?>[] {HttpConnection.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("closeHandler")) {
                @SuppressWarnings("unchecked")
                Handler<Void> handler = (Handler<Void>) arguments[0];
                onClose.set(handler);
              }
              return proxy;
            });
  }
}
