package io.arrowarch.node.http;

import io.netty.bootstrap.ServerBootstrap;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.transport.Transport;

/** The transport of a process whose servers accept a limited number of connections each. */
public final class LimitedAccept extends NioTransport implements Transport {
  private final int callersPort;
  private final int maximumOfCallers;
  private final int maximumOfOthers;

  /**
   * Creates a transport.
   *
   * @param callersPort where callers connect
   * @param maximumOfCallers connections that are accepted there at the same time
   * @param maximumOfOthers connections that are accepted at each other port at the same time
   */
  public LimitedAccept(int callersPort, int maximumOfCallers, int maximumOfOthers) {
    this.callersPort = callersPort;
    this.maximumOfCallers = maximumOfCallers;
    this.maximumOfOthers = maximumOfOthers;
  }

  @Override
  public String name() {
    return "nio";
  }

  @Override
  public boolean available() {
    return isAvailable();
  }

  @Override
  public Throwable unavailabilityCause() {
    return super.unavailabilityCause();
  }

  @Override
  public io.vertx.core.spi.transport.Transport implementation() {
    return this;
  }

  @Override
  public void configure(NetServerOptions options, boolean domainSocket, ServerBootstrap bootstrap) {
    super.configure(options, domainSocket, bootstrap);
    boolean isForCallers = options.getPort() == callersPort;
    bootstrap.handler(new AcceptGate(isForCallers ? maximumOfCallers : maximumOfOthers));
  }
}
