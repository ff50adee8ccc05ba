package io.arrowarch.node;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

/** An IP number and a port. */
public record SocketAddressSetting(String host, int port) {

  /**
   * Parses {@code IP:PORT}.
   *
   * @throws IllegalArgumentException when the host is not an IP number or the port is missing
   */
  public static SocketAddressSetting parse(String text) {
    HostAndPort parsed = HostAndPort.fromString(text);
    if (!parsed.hasPort() || !InetAddresses.isInetAddress(parsed.getHost())) {
      throw new IllegalArgumentException("'" + text + "' is not an IP number and port");
    }
    return new SocketAddressSetting(parsed.getHost(), parsed.getPort());
  }

  /** The same host with the port that the system chose. */
  public SocketAddressSetting withPort(int chosen) {
    return new SocketAddressSetting(host, chosen);
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
