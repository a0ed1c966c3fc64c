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
 * any thread. Reading stops while {@link #MAX_WAITING_BYTES} wait in one direction.
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

  private static final int MAX_WAITING_BYTES = 1 << 20;
  private static final int NO_LISTENER = -1;

  private final EventLoop loop;
  private final Tap tap;
  private final List<Channel> listeners = new ArrayList<>();
  private final Set<Connection> connections = new HashSet<>();
  private long connectionCount;
  private boolean frozen;
  private boolean refusing;
  private boolean byteByByte;
  private long delayUpMillis;
  private long delayDownMillis;
  private double bytesPerMillisecond = Double.MAX_VALUE;
  private int cutListener = NO_LISTENER;
  private long cutAfterBytes;

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
                  protected void initChannel(SocketChannel near) {
                    if (refusing) {
                      near.close();
                    } else {
                      new Connection(index, ++connectionCount).open(near, targetPort);
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
          refusing = refuseNew;
          List.copyOf(connections).forEach(Connection::end);
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
                connection.up.passDue();
                connection.down.passDue();
              });
        });
  }

  /** Delays what passes from now on, by direction; up is from the dialling side. */
  void setDelays(long upstreamMillis, long downstreamMillis) {
    execute(
        () -> {
          delayUpMillis = upstreamMillis;
          delayDownMillis = downstreamMillis;
        });
  }

  /** Limits the rate towards the dialling side. */
  void setDownstreamRate(double newBytesPerMillisecond) {
    execute(() -> bytesPerMillisecond = newBytesPerMillisecond);
  }

  /** Passes each byte by itself, or no more. */
  void setByteByByte(boolean on) {
    execute(() -> byteByByte = on);
  }

  /** Ends the next connection of a listener after some bytes towards the dialling side. */
  void closeConnectionAfter(int listener, long downstreamBytes) {
    execute(
        () -> {
          cutListener = listener;
          cutAfterBytes = downstreamBytes;
        });
  }

  /** Ends the direction towards the dialling side of all connections of a listener. */
  void halfClose(int listener) {
    execute(
        () ->
            connections.stream()
                .filter(connection -> connection.listener == listener)
                .forEach(connection -> ((SocketChannel) connection.near).shutdownOutput()));
  }

  /** Ends all connections and listeners. */
  void close() {
    execute(
        () -> {
          listeners.forEach(Channel::close);
          List.copyOf(connections).forEach(Connection::end);
        });
  }

  private final class Connection {
    private final int listener;
    private final long id;
    private Channel near;
    private Channel far;
    private Direction up;
    private Direction down;
    private long downBytes;

    Connection(int listener, long id) {
      this.listener = listener;
      this.id = id;
    }

    void open(Channel dialled, int targetPort) {
      near = dialled;
      connections.add(this);
      far =
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
                      near.config().setAutoRead(true);
                      far.config().setAutoRead(true);
                    } else {
                      end();
                    }
                  })
              .channel();
      up = new Direction(this, near, far, false);
      down = new Direction(this, far, near, true);
      near.pipeline().addLast(up);
      far.pipeline().addLast(down);
    }

    void end() {
      if (connections.remove(this)) {
        near.close();
        far.close();
        up.discard();
        down.discard();
        tap.connectionClosed(listener, id);
      }
    }
  }

  /** One direction. */
  private final class Direction extends ChannelInboundHandlerAdapter {
    private final Connection connection;
    private final Channel from;
    private final Channel to;
    private final boolean towardsNear;
    private final ArrayDeque<ByteBuf> waiting = new ArrayDeque<>();
    private final ArrayDeque<Long> dueAtNanos = new ArrayDeque<>();
    private long waitingBytes;
    private long freeAtNanos;

    Direction(Connection connection, Channel from, Channel to, boolean towardsNear) {
      this.connection = connection;
      this.from = from;
      this.to = to;
      this.towardsNear = towardsNear;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      ByteBuf in = (ByteBuf) message;
      if (towardsNear) {
        byte[] copy = new byte[in.readableBytes()];
        in.getBytes(in.readerIndex(), copy);
        tap.bytesPassed(
            connection.listener,
            connection.id,
            true,
            copy); // as the far side sent it, whatever happens to it here
      }
      long delay = TimeUnit.MILLISECONDS.toNanos(towardsNear ? delayDownMillis : delayUpMillis);
      while (in.isReadable()) {
        int size = byteByByte ? 1 : in.readableBytes();
        freeAtNanos =
            Math.max(freeAtNanos, System.nanoTime() + delay)
                + (towardsNear ? (long) (size / bytesPerMillisecond * 1e6) : 0);
        waiting.add(in.readRetainedSlice(size));
        dueAtNanos.add(freeAtNanos);
        waitingBytes += size;
      }
      in.release();
      from.config().setAutoRead(waitingBytes < MAX_WAITING_BYTES);
      passDue();
    }

    void passDue() {
      while (!frozen && !waiting.isEmpty()) {
        long waitNanos = dueAtNanos.peek() - System.nanoTime();
        if (waitNanos > 0) {
          loop.schedule(this::passDue, waitNanos, TimeUnit.NANOSECONDS);
          return;
        }
        pass(waiting.poll());
        dueAtNanos.poll();
      }
      from.config().setAutoRead(waitingBytes < MAX_WAITING_BYTES);
    }

    private void pass(ByteBuf out) {
      int size = out.readableBytes();
      waitingBytes -= size;
      boolean cutsHere =
          towardsNear
              && connection.listener == cutListener
              && connection.downBytes + size >= cutAfterBytes;
      if (cutsHere) {
        size = (int) Math.max(0, cutAfterBytes - connection.downBytes);
        cutListener = NO_LISTENER;
      }
      connection.downBytes += towardsNear ? size : 0;
      byte[] copy = new byte[size];
      out.readBytes(copy);
      out.release();
      if (!towardsNear) {
        tap.bytesPassed(connection.listener, connection.id, false, copy);
      }
      var written = to.writeAndFlush(Unpooled.wrappedBuffer(copy));
      if (cutsHere) {
        written.addListener(f -> connection.end());
      }
    }

    void discard() {
      waiting.forEach(ByteBuf::release);
      waiting.clear();
      dueAtNanos.clear();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (!frozen) {
        connection.end();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      connection.end();
    }
  }
}
