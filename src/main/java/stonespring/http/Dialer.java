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
 * Opens connections on one event loop; all calls come from there. How a dial ended is told on that
 * loop, and never before the call that began it has returned: where no descriptor is left Netty
 * fails at once and tells it on a thread of its own, so that a caller's state was not set yet, or
 * was changed by two threads.
 */
public final class Dialer {
  /** Hears how a dial ended: the cause is null where the connection stands. */
  interface Ended {
    void dialed(Throwable cause);
  }

  private final EventLoop loop;
  private final ChannelFactory<? extends SocketChannel> sockets;

  public Dialer(EventLoop loop) {
    this(loop, NioSocketChannel::new);
  }

  /**
   * @param sockets makes each connection's socket, or throws where there is none to be had
   */
  public Dialer(EventLoop loop, ChannelFactory<? extends SocketChannel> sockets) {
    this.loop = loop;
    this.sockets = sockets;
  }

  public EventLoop loop() {
    return loop;
  }

  /** Dials; the handlers are the connection's own. */
  Channel dial(InetSocketAddress to, int connectMillis, Ended ended, ChannelHandler... handlers) {
    ChannelFuture dial =
        new Bootstrap()
            .group(loop)
            .channelFactory(sockets)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(handlers);
                  }
                })
            .connect(to);
    dial.addListener(f -> loop.execute(() -> ended.dialed(cause(dial))));
    return dial.channel();
  }

  /**
   * A connection that ended between its dial and the telling was never used: its handlers had
   * nobody to tell.
   */
  private static Throwable cause(ChannelFuture dial) {
    return !dial.isSuccess()
        ? dial.cause()
        : dial.channel().isActive() ? null : new ClosedChannelException();
  }

  /** Closes what was dialed, whether or not there ever was a socket. */
  static void close(Channel channel) {
    if (channel.isRegistered()) {
      channel.close(); // on a channel that no loop has, it throws: whoever waits for an end would
      // never hear it
    }
  }
}
