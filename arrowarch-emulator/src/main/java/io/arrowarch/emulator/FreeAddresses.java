package io.arrowarch.emulator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Supplies addresses, as IP:PORT, that no other process of this machine uses: each process takes
 * them from a loopback address of its own, made from its id, of which no outgoing connection gets a
 * port either. Each stays bound until this is closed, so that none is supplied twice.
 */
public final class FreeAddresses implements Supplier<String>, AutoCloseable {
  private static final int BYTE = 0xff;
  private static final int BITS = 8;
  private static final int FIRST_OWN_OCTET = 64;
  private static final int OWN_OCTETS = 128;

  private final String host;
  private final List<ServerSocket> sockets = new ArrayList<>();

  /** Supplies addresses of this process. */
  public FreeAddresses() {
    long id = ProcessHandle.current().pid();
    long high = FIRST_OWN_OCTET + (id >> (2 * BITS)) % OWN_OCTETS;
    this.host = "127." + high + '.' + ((id >> BITS) & BYTE) + '.' + (id & BYTE);
  }

  @Override
  public String get() {
    try {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host));
      sockets.add(socket);
      return host + ":" + socket.getLocalPort();
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
