package stonespring.testbed;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A TCP relay on loopback with injected faults: it can delay bytes, limit their rate, forward them
 * one at a time, hold them back, or close connections after a number of bytes. A {@link Tap}
 * observes the traffic. For each connection, the downstream side is the one that connects to the
 * link, and the upstream side is the server that the link connects to.
 *
 * <p>Connections and fault settings are confined to one event loop: the methods may be called from
 * any thread and take effect asynchronously. The exception is {@link #addListener}, which is called
 * from one thread, not the event loop, before the faults start. To bound memory, the link stops
 * reading from a side while {@link #MAX_PENDING_BYTES} or more wait to be forwarded from it.
 */
final class FaultyLink {
  /**
   * Observes the traffic of a link. Bytes towards the downstream side are reported when the link
   * receives them, whether or not it forwards them; bytes towards the upstream side are reported
   * when it forwards them. Called on the link's event loop.
   */
  interface Tap {
    /**
     * Observes bytes of a connection.
     *
     * @param listener the index of the listener that accepted the connection
     * @param connection a number that identifies the connection within the link
     * @param towardsDownstream whether the bytes travel towards the downstream side
     */
    void bytesPassed(int listener, long connection, boolean towardsDownstream, byte[] bytes);

    /** Observes that a connection is closed. */
    default void connectionClosed(int listener, long connection) {}

    /** Observes that the link holds back all bytes from now on; connections stay open. */
    default void linkFrozen() {}
  }

  private static final int MAX_PENDING_BYTES = 1 << 20;

  /** Value of {@link #closingListener} while no connection is to be closed by byte count. */
  private static final int NO_LISTENER = -1;

  private final EventLoop loop;
  private final Tap tap;
  private final List<Channel> listeners = new ArrayList<>();
  private final Set<Connection> connections = new HashSet<>();
  private long connectionCount;
  private boolean frozen;
  private boolean refusesConnections;
  private boolean byteByByte;
  private long upstreamDelayMillis;
  private long downstreamDelayMillis;
  private double downstreamBytesPerMillisecond = Double.MAX_VALUE;
  private int closingListener = NO_LISTENER;
  private long closeAfterBytes;

  FaultyLink(EventLoop loop, Tap tap) {
    this.loop = loop;
    this.tap = tap;
  }

  /**
   * Adds a listener that relays connections to a loopback port, and returns the listener's port.
   * Listeners are identified by index, from 0 in the order of their creation.
   */
  int addListener(int targetPort) throws InterruptedException {
    int index = listeners.size();
    Channel listener =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel downstream) {
                    if (refusesConnections) {
                      downstream.close();
                    } else {
                      new Connection(index, ++connectionCount).open(downstream, targetPort);
                    }
                  }
                })
            .bind(new InetSocketAddress("127.0.0.1", 0))
            .sync()
            .channel();
    listeners.add(listener);
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  private void execute(Runnable action) {
    loop.execute(action);
  }

  /**
   * Closes all connections.
   *
   * @param refuseNew whether new connections are closed on accept until the next call
   */
  void closeConnections(boolean refuseNew) {
    execute(
        () -> {
          refusesConnections = refuseNew;
          List.copyOf(connections).forEach(Connection::close);
        });
  }

  /**
   * Freezes or unfreezes the link. While it is frozen, connections stay open, and bytes are held
   * back and forwarded afterwards.
   */
  void setFrozen(boolean on) {
    execute(
        () -> {
          frozen = on;
          if (on) {
            tap.linkFrozen();
          }
          connections.forEach(
              connection -> {
                connection.towardsUpstream.forwardDue();
                connection.towardsDownstream.forwardDue();
              });
        });
  }

  /** Sets the delay of bytes that arrive from now on, by direction. */
  void setDelays(long upstreamMillis, long downstreamMillis) {
    execute(
        () -> {
          upstreamDelayMillis = upstreamMillis;
          downstreamDelayMillis = downstreamMillis;
        });
  }

  /** Limits the rate towards the downstream side; {@link Double#MAX_VALUE} stands for no limit. */
  void setDownstreamRate(double newBytesPerMillisecond) {
    execute(() -> downstreamBytesPerMillisecond = newBytesPerMillisecond);
  }

  /** Switches whether every byte is forwarded in a write of its own. */
  void setByteByByte(boolean on) {
    execute(() -> byteByByte = on);
  }

  /**
   * Closes one connection of a listener: the first whose total of bytes towards the downstream side
   * reaches a number. Bytes beyond that number are dropped.
   */
  void closeConnectionAfter(int listener, long downstreamBytes) {
    execute(
        () -> {
          closingListener = listener;
          closeAfterBytes = downstreamBytes;
        });
  }

  /** Half-closes all connections of a listener: ends the direction towards the downstream side. */
  void halfClose(int listener) {
    execute(
        () ->
            connections.stream()
                .filter(connection -> connection.listener == listener)
                .forEach(connection -> ((SocketChannel) connection.downstream).shutdownOutput()));
  }

  /** Closes all listeners and connections. */
  void close() {
    execute(
        () -> {
          listeners.forEach(Channel::close);
          List.copyOf(connections).forEach(Connection::close);
        });
  }

  private final class Connection {
    private final int listener;
    private final long id;
    private Channel downstream;
    private Channel upstream;
    private Direction towardsUpstream;
    private Direction towardsDownstream;
    private long downstreamBytes;

    Connection(int listener, long id) {
      this.listener = listener;
      this.id = id;
    }

    void open(Channel accepted, int targetPort) {
      downstream = accepted;
      connections.add(this);
      upstream =
          new Bootstrap()
              .group(loop)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.TCP_NODELAY, true)
              .option(ChannelOption.AUTO_READ, false)
              .handler(
                  new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                      // The handler is added below: auto-read is off until the connect succeeds.
                    }
                  })
              .connect(new InetSocketAddress("127.0.0.1", targetPort))
              .addListener(
                  f -> {
                    if (f.isSuccess()) {
                      downstream.config().setAutoRead(true);
                      upstream.config().setAutoRead(true);
                    } else {
                      close();
                    }
                  })
              .channel();
      towardsUpstream = new Direction(this, downstream, upstream, false);
      towardsDownstream = new Direction(this, upstream, downstream, true);
      downstream.pipeline().addLast(towardsUpstream);
      upstream.pipeline().addLast(towardsDownstream);
    }

    void close() {
      if (connections.remove(this)) {
        downstream.close();
        upstream.close();
        towardsUpstream.releasePending();
        towardsDownstream.releasePending();
        tap.connectionClosed(listener, id);
      }
    }
  }

  /** Forwards the bytes of one direction of a connection, in order, once they are due. */
  private final class Direction extends ChannelInboundHandlerAdapter {
    private final Connection connection;
    private final Channel source;
    private final Channel destination;
    private final boolean toDownstream;
    private final ArrayDeque<ByteBuf> pending = new ArrayDeque<>();
    private final ArrayDeque<Long> dueAtNanos = new ArrayDeque<>();
    private long pendingBytes;

    /** When the latest pending bytes are due; later bytes are never due before them. */
    private long lastDueAtNanos;

    Direction(Connection connection, Channel source, Channel destination, boolean toDownstream) {
      this.connection = connection;
      this.source = source;
      this.destination = destination;
      this.toDownstream = toDownstream;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      ByteBuf in = (ByteBuf) message;
      if (toDownstream) {
        byte[] copy = new byte[in.readableBytes()];
        in.getBytes(in.readerIndex(), copy);
        tap.bytesPassed(
            connection.listener,
            connection.id,
            true,
            copy); // reported as received: the link may still hold back or drop it
      }
      long delayNanos =
          TimeUnit.MILLISECONDS.toNanos(toDownstream ? downstreamDelayMillis : upstreamDelayMillis);
      while (in.isReadable()) {
        int size = byteByByte ? 1 : in.readableBytes();
        lastDueAtNanos =
            Math.max(lastDueAtNanos, System.nanoTime() + delayNanos)
                + (toDownstream ? (long) (size / downstreamBytesPerMillisecond * 1e6) : 0);
        pending.add(in.readRetainedSlice(size));
        dueAtNanos.add(lastDueAtNanos);
        pendingBytes += size;
      }
      in.release();
      source.config().setAutoRead(pendingBytes < MAX_PENDING_BYTES);
      forwardDue();
    }

    void forwardDue() {
      while (!frozen && !pending.isEmpty()) {
        long waitNanos = dueAtNanos.peek() - System.nanoTime();
        if (waitNanos > 0) {
          loop.schedule(this::forwardDue, waitNanos, TimeUnit.NANOSECONDS);
          return;
        }
        forward(pending.poll());
        dueAtNanos.poll();
      }
      source.config().setAutoRead(pendingBytes < MAX_PENDING_BYTES);
    }

    private void forward(ByteBuf out) {
      int size = out.readableBytes();
      pendingBytes -= size;
      boolean closesHere =
          toDownstream
              && connection.listener == closingListener
              && connection.downstreamBytes + size >= closeAfterBytes;
      if (closesHere) {
        size = (int) Math.max(0, closeAfterBytes - connection.downstreamBytes);
        closingListener = NO_LISTENER;
      }
      connection.downstreamBytes += toDownstream ? size : 0;
      byte[] copy = new byte[size];
      out.readBytes(copy);
      out.release();
      if (!toDownstream) {
        tap.bytesPassed(connection.listener, connection.id, false, copy);
      }
      var written = destination.writeAndFlush(Unpooled.wrappedBuffer(copy));
      if (closesHere) {
        written.addListener(f -> connection.close());
      }
    }

    void releasePending() {
      pending.forEach(ByteBuf::release);
      pending.clear();
      dueAtNanos.clear();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (!frozen) {
        connection.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      connection.close();
    }
  }
}
