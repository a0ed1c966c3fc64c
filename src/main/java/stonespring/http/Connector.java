package stonespring.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;

/**
 * Opens connections on one event loop; all calls come from there. The outcome is reported on that
 * loop and never before {@link #connect} has returned. Netty alone does not guarantee that: without
 * a free file descriptor it fails at once and reports on a thread of its own.
 */
public final class Connector {
  /** Receives the outcome of a connect. */
  interface Listener {
    /** The connection is established. */
    void connected();

    /** There is no connection. */
    void connectFailed(Throwable cause);
  }

  private final EventLoop loop;
  private final ChannelFactory<? extends SocketChannel> socketFactory;

  /** Creates a connector for TCP sockets. */
  public Connector(EventLoop loop) {
    this(loop, NioSocketChannel::new);
  }

  /**
   * Creates a connector.
   *
   * @param socketFactory makes the socket of each connection, or throws if there is none to be had
   */
  public Connector(EventLoop loop, ChannelFactory<? extends SocketChannel> socketFactory) {
    this.loop = loop;
    this.socketFactory = socketFactory;
  }

  /** The event loop of all connections. */
  public EventLoop loop() {
    return loop;
  }

  /**
   * Begins to connect.
   *
   * @param handlers the connection's own
   */
  Channel connect(
      InetSocketAddress address, int timeoutMillis, Listener listener, ChannelHandler... handlers) {
    ChannelFuture connectFuture =
        new Bootstrap()
            .group(loop)
            .channelFactory(socketFactory)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(handlers);
                  }
                })
            .connect(address);
    connectFuture.addListener(future -> loop.execute(() -> reportOutcome(connectFuture, listener)));
    return connectFuture.channel();
  }

  private static void reportOutcome(ChannelFuture connectFuture, Listener listener) {
    if (!connectFuture.isSuccess()) {
      listener.connectFailed(connectFuture.cause());
    } else if (!connectFuture.channel().isActive()) {
      // It was closed before it could be used, and its handlers had nobody to notify.
      listener.connectFailed(new ClosedChannelException());
    } else {
      listener.connected();
    }
  }

  /** Closes a connection, whether or not there ever was a socket. */
  static void close(Channel channel) {
    // Channel.close throws on one that was never registered with an event loop.
    if (channel.isRegistered()) {
      channel.close();
    }
  }
}
