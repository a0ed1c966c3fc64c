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
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Listens for lines, and keeps unjoined few and short: they must never take a descriptor from those
 * who are known. It lives on one event loop. Ends of connections are logged up to a number a
 * second, then counted.
 */
public final class LineServer {
  private static final Logger LOG = LoggerFactory.getLogger(LineServer.class);
  private static final int ACCEPT_BACKLOG =
      1024; // connections; a whole fleet and a crowd dial within a second
  private static final int ACCEPTS_AT_ONCE =
      4; // connections; by so many the bound of unjoined may be passed
  // ms; a peer that says at once who it is was heard by then: it comes among hundreds, and one long
  // moment of the loop
  // must not make those unjoined whose words lie read at the socket already.
  private static final long UNJOINED_LEAST_MILLIS = 50;
  private static final int READ_BYTES = 2048; // of one read; messages have a few hundred
  private static final int LOGGED_A_SECOND = 5; // lines; the rest are counted in one

  private final LineLimits limits;
  private final LineHandler events;
  private final Set<LineConnection> unjoined = new LinkedHashSet<>();
  private Channel channel;
  private Future<?> crowded;
  private long secondAt;
  private int logged;
  private long unlogged;

  public LineServer(LineLimits limits, LineHandler events) {
    this.limits = limits;
    this.events = events;
  }

  /** Listens; waits until it does. The loops must be of one thread. */
  @SuppressWarnings("deprecation") // RCVBUF_ALLOCATOR: Netty 4.2 names no other way to set it
  public LineServer start(EventLoopGroup loops, InetSocketAddress address)
      throws InterruptedException {
    channel =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(
                ChannelOption.RCVBUF_ALLOCATOR,
                new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTS_AT_ONCE))
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_BYTES))
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel child) {
                    child
                        .pipeline()
                        .addLast(
                            new LineDecoder(limits.lineBytes()),
                            new LineConnection(LineServer.this, events));
                  }
                })
            .bind(address)
            .sync()
            .channel();
    return this;
  }

  public int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  public LineLimits limits() {
    return limits;
  }

  /**
   * A new connection: it has some time to say who it is. Beyond the bound no more are accepted
   * until there is room.
   */
  Future<?> connected(LineConnection peer) {
    unjoined.add(peer);
    Future<?> end =
        peer.channel()
            .eventLoop()
            .schedule(
                () -> peer.end("not joined within " + limits.unjoinedMillis() + " ms"),
                limits.unjoinedMillis(),
                TimeUnit.MILLISECONDS);
    if (unjoined.size() >= limits.unjoined()) {
      Channel server = peer.channel().parent();
      server.config().setAutoRead(false);
      if (crowded == null) {
        crowded = later(server);
      }
    }
    return end;
  }

  private Future<?> later(Channel server) {
    return server
        .eventLoop()
        .schedule(() -> makeRoom(server), UNJOINED_LEAST_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** The oldest go until half the room is free, but none that hardly had time to say who it is. */
  private void makeRoom(Channel server) {
    long ripe = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(UNJOINED_LEAST_MILLIS);
    for (LineConnection oldest : List.copyOf(unjoined)) {
      if (unjoined.size() <= limits.unjoined() / 2 || oldest.since() - ripe > 0) {
        break;
      }
      oldest.end("too many that have not joined");
    }
    if (crowded != null) {
      crowded = later(server);
    }
  }

  void known(LineConnection peer) {
    unjoined.remove(peer);
    if (crowded != null && unjoined.size() < limits.unjoined()) {
      crowded.cancel(false);
      crowded = null;
      peer.channel().parent().config().setAutoRead(true);
    }
  }

  void ended(LineConnection peer, String cause) {
    long second = System.nanoTime() / 1_000_000_000;
    if (second != secondAt) {
      if (unlogged > 0) {
        LOG.warn("{} more connections ended", unlogged);
      }
      secondAt = second;
      logged = 0;
      unlogged = 0;
    }
    if (logged++ < LOGGED_A_SECOND) {
      LOG.warn(
          "connection of {} ended: {}",
          peer.keptFor() == null ? "one that has not joined" : peer.keptFor(),
          cause);
    } else {
      unlogged++;
    }
  }

  /** Takes no new connections from now on. */
  public void stop() {
    channel.close();
  }
}
