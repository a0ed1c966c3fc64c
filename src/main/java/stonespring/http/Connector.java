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
 * Opens TCP connections on one event loop; methods must be called on that loop. The outcome is
 * reported on the loop too, and never before {@link #connect} has returned. Netty alone does not
 * guarantee that: if no file descriptor is free, the connect fails immediately and is reported on
 * another thread.
 */
public final class Connector {
  /** Receives the outcome of a connection attempt. */
  interface Listener {
    /** Called when the connection is established. */
    void connected();

    /** Called when the connection could not be established or was closed at once. */
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
   * @param socketFactory creates the socket of each connection; may throw if none is available
   */
  public Connector(EventLoop loop, ChannelFactory<? extends SocketChannel> socketFactory) {
    this.loop = loop;
    this.socketFactory = socketFactory;
  }

  /** Returns the event loop of all connections. */
  public EventLoop loop() {
    return loop;
  }

  /**
   * Starts to connect; the outcome is reported to the listener.
   *
   * @param handlers the handlers of this connection's pipeline, not shared with others
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
      // The connection was closed before the listener knew of it, so no handler reported the end.
      listener.connectFailed(new ClosedChannelException());
    } else {
      listener.connected();
    }
  }

  /** Closes a connection, even if its socket could not be created. */
  static void close(Channel channel) {
    // Channel.close throws if the channel was never registered with an event loop.
    if (channel.isRegistered()) {
      channel.close();
    }
  }
}
