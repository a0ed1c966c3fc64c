package stonespring.line;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import stonespring.netty.AcceptGate;

/** A server for the line protocol. All of its connections run on one event loop. */
public final class LineServer {
  /** Backlog of the listening socket: the proxies of a fleet may all connect within a second. */
  private static final int ACCEPT_BACKLOG = 1024;

  /**
   * Maximum number of connections that are accepted per read of the listening socket. The limit of
   * pending handshakes may be exceeded by this number.
   */
  private static final int MAX_ACCEPTS_PER_READ = 4;

  /** Buffer size of one read; a message has a few hundred bytes. */
  private static final int READ_BUFFER_BYTES = 2048;

  private final LineLimits limits;
  private final LineHandler handler;
  private final AcceptGate acceptGate = new AcceptGate();
  private final PendingHandshakes pendingHandshakes;
  private final ConnectionLimit connectionLimit;
  private final ConnectionCloseLog closeLog = new ConnectionCloseLog();
  private Channel channel;

  /** Creates a server that does not listen yet. */
  public LineServer(LineLimits limits, LineHandler handler) {
    this.limits = limits;
    this.handler = handler;
    this.pendingHandshakes = new PendingHandshakes(limits, acceptGate);
    this.connectionLimit = new ConnectionLimit(limits.maxConnections());
  }

  /**
   * Starts listening at the address, and returns when the socket is bound.
   *
   * @param loops a group with exactly one event loop
   */
  @SuppressWarnings("deprecation") // RCVBUF_ALLOCATOR: Netty 4.2 has no other way to set it
  public LineServer start(EventLoopGroup loops, InetSocketAddress address)
      throws InterruptedException {
    channel =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(
                ChannelOption.RCVBUF_ALLOCATOR,
                new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_READ))
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .handler(acceptGate)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_BUFFER_BYTES))
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel accepted) {
                    accepted
                        .pipeline()
                        .addLast(new LineDecoder(limits.maxLineBytes()), newConnection());
                  }
                })
            .bind(address)
            .sync()
            .channel();
    return this;
  }

  private LineConnection newConnection() {
    return new LineConnection(limits, pendingHandshakes, connectionLimit, closeLog, handler);
  }

  /** Returns the local port; only valid after {@link #start}. */
  public int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  /** Returns the limits of this server. */
  public LineLimits limits() {
    return limits;
  }

  /** Stops accepting connections; open connections are not closed. */
  public void stop() {
    channel.close();
  }
}
