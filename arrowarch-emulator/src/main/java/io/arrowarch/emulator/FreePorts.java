package io.arrowarch.emulator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;

/**
 * Supplies ports of a loopback address that the system chose. Each stays bound until this is
 * closed, so that no port is supplied twice.
 *
 * <p>Take another address than 127.0.0.1: outgoing connections get ports of that one, and could
 * take a port after this is closed and before a server binds it.
 */
public final class FreePorts implements IntSupplier, AutoCloseable {
  /** Address of emulated back ends. */
  public static final String BACKEND_HOST = "127.0.0.2";

  /** Address of routers and platforms that scripts and tests start. */
  public static final String ROUTER_HOST = "127.0.0.3";

  private final String host;
  private final List<ServerSocket> sockets = new ArrayList<>();

  /** Supplies ports of this address. */
  public FreePorts(String host) {
    this.host = host;
  }

  @Override
  public int getAsInt() {
    try {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host));
      sockets.add(socket);
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() throws IOException {
    for (ServerSocket socket : sockets) {
      socket.close();
    }
  }
}
