package stonespring.zmtp;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.SocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.netty.AcceptGate;
import stonespring.netty.FairReads;
import stonespring.netty.IncomingMessages;
import stonespring.netty.IncompleteMessageLimiter;
import stonespring.netty.LogRateLimit;

/** Opens listening sockets and outbound connections. Thread-safe. */
public final class ZmtpSockets {
  private static final Logger LOG = LoggerFactory.getLogger(ZmtpSockets.class);

  /**
   * Maximum length of the accept queue; large enough for a whole fleet that reconnects within a
   * second.
   */
  private static final int ACCEPT_BACKLOG = 2048;

  /**
   * Maximum time to establish a TCP connection. Peers on loopback or in neighbouring data centres
   * answer within a few milliseconds.
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 3_000;

  private static final int MAX_CLOSE_LINES_PER_SECOND = 5;
  private static final LogRateLimit CLOSE_LOG =
      new LogRateLimit(LOG, MAX_CLOSE_LINES_PER_SECOND, "closed or refused connections");

  private ZmtpSockets() {}

  /**
   * Starts to listen; the future completes when the socket is bound or binding has failed.
   *
   * @param messages the messages that peers of this and other listeners have begun
   */
  public static ChannelFuture listen(
      EventLoopGroup loops,
      SocketType type,
      SocketAddress address,
      ZmtpLimits limits,
      ZmtpListener listener,
      IncomingMessages messages) {
    return FairReads.apply(new ServerBootstrap())
        .group(loops)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .handler(new AcceptGate())
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new AcceptedConnectionInitializer(type, limits, listener, messages))
        .bind(address);
  }

  /**
   * Starts to connect; the future completes when the TCP connection is established or has failed,
   * before the ZMTP handshake.
   */
  public static ChannelFuture connect(
      EventLoopGroup loops,
      SocketType type,
      SocketAddress address,
      ZmtpLimits limits,
      ZmtpListener listener) {
    return new Bootstrap()
        .group(loops)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                ZmtpConnection connection =
                    new ZmtpConnection(type, false, limits, listener, CLOSE_LOG);
                setWriteBuffer(channel, limits);
                channel.pipeline().addLast(new ZmtpDecoder(limits), connection);
              }
            })
        .connect(address);
  }

  private static void setWriteBuffer(Channel channel, ZmtpLimits limits) {
    int maxPendingBytes = limits.maxPendingBytes();
    channel
        .config()
        .setWriteBufferWaterMark(new WriteBufferWaterMark(maxPendingBytes / 2, maxPendingBytes));
  }

  /**
   * Counts the open connections of a listening socket, closes new ones over the limit, and limits
   * the memory of incomplete messages.
   */
  private static final class AcceptedConnectionInitializer
      extends ChannelInitializer<SocketChannel> {
    private final SocketType type;
    private final ZmtpLimits limits;
    private final ZmtpListener listener;
    private final IncomingMessages messages;
    private final AtomicInteger openConnections = new AtomicInteger();

    AcceptedConnectionInitializer(
        SocketType type, ZmtpLimits limits, ZmtpListener listener, IncomingMessages messages) {
      this.type = type;
      this.limits = limits;
      this.listener = listener;
      this.messages = messages;
    }

    @Override
    protected void initChannel(SocketChannel accepted) {
      if (openConnections.incrementAndGet() > limits.maxConnections()) {
        if (CLOSE_LOG.shouldLog()) {
          LOG.warn(
              "zmtp {} peer {}: connection refused: limit of {} connections reached",
              type,
              accepted.remoteAddress(),
              limits.maxConnections());
        }
        openConnections.decrementAndGet();
        accepted.close();
        return;
      }
      accepted.closeFuture().addListener(future -> openConnections.decrementAndGet());
      setWriteBuffer(accepted, limits);
      ZmtpDecoder decoder = new ZmtpDecoder(limits);
      accepted
          .pipeline()
          .addLast(
              decoder,
              new IncompleteMessageLimiter(decoder, messages),
              new ZmtpConnection(type, true, limits, listener, CLOSE_LOG));
    }
  }
}
