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

/** Listens for connections of lines. All of them live on one event loop. */
public final class LineServer {
  /** A whole fleet may connect within a second. */
  private static final int ACCEPT_BACKLOG = 1024;

  /** The limit of pending handshakes may be exceeded by this many connections. */
  private static final int MAX_ACCEPTS_PER_READ = 4;

  private static final int READ_BUFFER_BYTES = 2048;

  private final LineLimits limits;
  private final LineHandler handler;
  private final PendingHandshakes pendingHandshakes;
  private final ConnectionCloseLog closeLog = new ConnectionCloseLog();
  private Channel channel;

  /** Creates a server; it does not listen yet. */
  public LineServer(LineLimits limits, LineHandler handler) {
    this.limits = limits;
    this.handler = handler;
    this.pendingHandshakes = new PendingHandshakes(limits);
  }

  /**
   * Listens, and waits until it does.
   *
   * @param loops must have one event loop
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
    return new LineConnection(limits, pendingHandshakes, closeLog, handler);
  }

  /** The local port, once it listens. */
  public int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  /** The limits that it was created with. */
  public LineLimits limits() {
    return limits;
  }

  /** Accepts no new connections from now on; those that are open stay. */
  public void stop() {
    channel.close();
  }
}
