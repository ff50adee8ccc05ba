package io.arrowarch.emulator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;

/**
 * Supplies loopback ports that the system chose. Each stays bound until this is closed, so that no
 * port is supplied twice.
 */
public final class FreePorts implements IntSupplier, AutoCloseable {
  private final List<ServerSocket> sockets = new ArrayList<>();

  @Override
  public int getAsInt() {
    try {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
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
