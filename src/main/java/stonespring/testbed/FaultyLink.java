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
 * Stands between two loopback sockets and passes bytes on, as it is told: late, slowly, byte by
 * byte, not at all, or until a stated byte. What passes is shown to a tap. One event loop holds all
 * of its state; what waits in it is bounded by reading no more while over a megabyte does.
 */
final class FaultyLink {
  /**
   * Sees what was sent down and what passed up, and when a pair of connections opened and ended; on
   * the link's event loop.
   */
  interface Tap {
    /** {@code pair} tells connections apart; {@code down} is towards the one who dialled. */
    void passed(int listener, long pair, boolean down, byte[] bytes);

    default void ended(int listener, long pair) {}

    /** Nothing passes from now on, though connections stand. */
    default void frozen() {}
  }

  private static final int MAX_WAITING_BYTES =
      1 << 20; // bytes that wait in one direction before reading stops

  private final EventLoop loop;
  private final Tap tap;
  private final List<Channel> listeners = new ArrayList<>();
  private final Set<Pair> pairs = new HashSet<>();
  private long count;
  private boolean frozen;
  private boolean refusing;
  private boolean byteByByte;
  private long delayUp;
  private long delayDown;
  private double bytesPerMillisecond = Double.MAX_VALUE;
  private int cutListener = -1;
  private long cutAfter;

  FaultyLink(EventLoop loop, Tap tap) {
    this.loop = loop;
    this.tap = tap;
  }

  /** Adds a listener that passes on to a port; returns its own port. Listeners count from 0. */
  int listen(int target) throws InterruptedException {
    int number = listeners.size();
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
                      new Pair(number, ++count).open(near, target);
                    }
                  }
                })
            .bind(new InetSocketAddress("127.0.0.1", 0))
            .sync()
            .channel();
    listeners.add(listener);
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  private void run(Runnable work) {
    loop.execute(work);
  }

  /** Ends all connections; {@code refuse}: and lets no new one through until told otherwise. */
  void cut(boolean refuse) {
    run(
        () -> {
          refusing = refuse;
          List.copyOf(pairs).forEach(Pair::end);
        });
  }

  /** Passes nothing on, both ways, while connections stay; or goes on. */
  void freeze(boolean on) {
    run(
        () -> {
          frozen = on;
          if (on) {
            tap.frozen();
          }
          pairs.forEach(
              pair -> {
                pair.up.move();
                pair.down.move();
              });
        });
  }

  void delay(long upMillis, long downMillis) {
    run(
        () -> {
          delayUp = upMillis;
          delayDown = downMillis;
        });
  }

  void slow(double bytesEachMilli) {
    run(() -> bytesPerMillisecond = bytesEachMilli);
  }

  void byteByByte(boolean on) {
    run(() -> byteByByte = on);
  }

  /** Ends the next connection of a listener after so many bytes towards the one who dialled. */
  void cutAfter(int listener, long bytes) {
    run(
        () -> {
          cutListener = listener;
          cutAfter = bytes;
        });
  }

  /** Ends one direction of every connection of a listener, and leaves the other open. */
  void halfClose(int listener) {
    run(
        () ->
            pairs.stream()
                .filter(pair -> pair.listener == listener)
                .forEach(pair -> ((SocketChannel) pair.near).shutdownOutput()));
  }

  void close() {
    run(
        () -> {
          listeners.forEach(Channel::close);
          List.copyOf(pairs).forEach(Pair::end);
        });
  }

  private final class Pair {
    private final int listener;
    private final long number;
    private Channel near;
    private Channel far;
    private Direction up;
    private Direction down;
    private long downBytes;

    Pair(int listener, long number) {
      this.listener = listener;
      this.number = number;
    }

    void open(Channel dialled, int target) {
      near = dialled;
      pairs.add(this);
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
              .connect(new InetSocketAddress("127.0.0.1", target))
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
      if (pairs.remove(this)) {
        near.close();
        far.close();
        up.drop();
        down.drop();
        tap.ended(listener, number);
      }
    }
  }

  /** One direction. */
  private final class Direction extends ChannelInboundHandlerAdapter {
    private final Pair pair;
    private final Channel from;
    private final Channel to;
    private final boolean towardsNear;
    private final ArrayDeque<ByteBuf> waiting = new ArrayDeque<>();
    private final ArrayDeque<Long> dueAt = new ArrayDeque<>();
    private long bytes;
    private long freeAt;

    Direction(Pair pair, Channel from, Channel to, boolean towardsNear) {
      this.pair = pair;
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
        tap.passed(
            pair.listener,
            pair.number,
            true,
            copy); // as the far side sent it, whatever happens to it here
      }
      long delay = TimeUnit.MILLISECONDS.toNanos(towardsNear ? delayDown : delayUp);
      while (in.isReadable()) {
        int size = byteByByte ? 1 : in.readableBytes();
        freeAt =
            Math.max(freeAt, System.nanoTime() + delay)
                + (towardsNear ? (long) (size / bytesPerMillisecond * 1e6) : 0);
        waiting.add(in.readRetainedSlice(size));
        dueAt.add(freeAt);
        bytes += size;
      }
      in.release();
      from.config().setAutoRead(bytes < MAX_WAITING_BYTES);
      move();
    }

    void move() {
      while (!frozen && !waiting.isEmpty()) {
        long wait = dueAt.peek() - System.nanoTime();
        if (wait > 0) {
          loop.schedule(this::move, wait, TimeUnit.NANOSECONDS);
          return;
        }
        pass(waiting.poll());
        dueAt.poll();
      }
      from.config().setAutoRead(bytes < MAX_WAITING_BYTES);
    }

    private void pass(ByteBuf out) {
      int size = out.readableBytes();
      bytes -= size;
      boolean cutHere =
          towardsNear && pair.listener == cutListener && pair.downBytes + size >= cutAfter;
      if (cutHere) {
        size = (int) Math.max(0, cutAfter - pair.downBytes);
        cutListener = -1;
      }
      pair.downBytes += towardsNear ? size : 0;
      byte[] copy = new byte[size];
      out.readBytes(copy);
      out.release();
      if (!towardsNear) {
        tap.passed(pair.listener, pair.number, false, copy);
      }
      var written = to.writeAndFlush(Unpooled.wrappedBuffer(copy));
      if (cutHere) {
        written.addListener(f -> pair.end());
      }
    }

    void drop() {
      waiting.forEach(ByteBuf::release);
      waiting.clear();
      dueAt.clear();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (!frozen) {
        pair.end();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      pair.end();
    }
  }
}
