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
 * A TCP relay on loopback that passes bytes late, slowly, one by one, not at all, or up to a stated
 * byte, and shows them to a tap. All state lives on one event loop; its methods may be called from
 * any thread. Reading stops while {@link #MAX_PENDING_BYTES} wait in one direction.
 */
final class FaultyLink {
  /**
   * Observes what was sent towards the dialling side, what passed the other way, and the ends of
   * connections; called on the link's event loop.
   */
  interface Tap {
    /** Bytes passed on a connection; {@code towardsDownstream} is towards the dialling side. */
    void bytesPassed(int listener, long connection, boolean towardsDownstream, byte[] bytes);

    /** A connection ended. */
    default void connectionClosed(int listener, long connection) {}

    /** Nothing passes from now on, though connections stay open. */
    default void linkFrozen() {}
  }

  private static final int MAX_PENDING_BYTES = 1 << 20;
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

  /** Adds a listener that relays to a port; returns its own port. Listeners count from 0. */
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

  /** Ends all connections; with {@code refuseNew}, also new ones until the next call. */
  void closeConnections(boolean refuseNew) {
    execute(
        () -> {
          refusesConnections = refuseNew;
          List.copyOf(connections).forEach(Connection::close);
        });
  }

  /** Holds back all bytes while connections stay open, or passes them on again. */
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

  /** Delays what passes from now on, by direction; up is from the dialling side. */
  void setDelays(long upstreamMillis, long downstreamMillis) {
    execute(
        () -> {
          upstreamDelayMillis = upstreamMillis;
          downstreamDelayMillis = downstreamMillis;
        });
  }

  /** Limits the rate towards the dialling side. */
  void setDownstreamRate(double newBytesPerMillisecond) {
    execute(() -> downstreamBytesPerMillisecond = newBytesPerMillisecond);
  }

  /** Passes each byte by itself, or no more. */
  void setByteByByte(boolean on) {
    execute(() -> byteByByte = on);
  }

  /** Ends the next connection of a listener after some bytes towards the dialling side. */
  void closeConnectionAfter(int listener, long downstreamBytes) {
    execute(
        () -> {
          closingListener = listener;
          closeAfterBytes = downstreamBytes;
        });
  }

  /** Ends the direction towards the dialling side of all connections of a listener. */
  void halfClose(int listener) {
    execute(
        () ->
            connections.stream()
                .filter(connection -> connection.listener == listener)
                .forEach(connection -> ((SocketChannel) connection.downstream).shutdownOutput()));
  }

  /** Ends all connections and listeners. */
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
                      // Filled in below, before anything is read.
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

  /** One direction. */
  private final class Direction extends ChannelInboundHandlerAdapter {
    private final Connection connection;
    private final Channel source;
    private final Channel destination;
    private final boolean toDownstream;
    private final ArrayDeque<ByteBuf> pending = new ArrayDeque<>();
    private final ArrayDeque<Long> dueAtNanos = new ArrayDeque<>();
    private long pendingBytes;
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
            copy); // as the far side sent it, whatever happens to it here
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
