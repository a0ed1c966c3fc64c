package stonespring.chp;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import stonespring.zmtp.SocketType;
import stonespring.zmtp.ZmtpConnection;
import stonespring.zmtp.ZmtpLimits;
import stonespring.zmtp.ZmtpListener;
import stonespring.zmtp.ZmtpSockets;

/**
 * A server of the Clustered Hashmap Protocol: snapshots at a port P, updates at P+1, the collector
 * at P+2. It carries messages; what they mean is its {@link ChpBackend}'s.
 */
public final class ChpServer {
  private static final long BEAT_MILLIS = 1_000; // ms; the specification's "about once a second"
  private static final int FREE_TRIES = 50; // tries to find three free ports in a row

  private final EventLoopGroup loops;
  private final ZmtpLimits limits;
  private final ChpBackend backend;
  private final Publisher publisher;
  private final ChannelGroup open;
  private final List<Channel> listeners = new ArrayList<>();
  private Future<?> beats;
  private int port;

  /** {@code loops} must have one event loop: subscriptions of all peers live on it. */
  public ChpServer(EventLoopGroup loops, ZmtpLimits limits, ChpBackend backend) {
    this.loops = loops;
    this.limits = limits;
    this.backend = backend;
    var loop = loops.next();
    this.publisher = new Publisher(loop);
    this.open = new DefaultChannelGroup(loop);
  }

  /**
   * Listens; port 0 takes any three free ports in a row. Names the port that is taken in the error.
   */
  public void start(String host, int wanted) throws IOException, InterruptedException {
    for (int i = 0; wanted == 0 && i < FREE_TRIES; i++) {
      try (var probe = new java.net.ServerSocket(0, 1, java.net.InetAddress.getByName(host))) {
        port = probe.getLocalPort();
      }
      try {
        listen(host);
        return;
      } catch (IOException e) {
        stopListening();
      }
    }
    port = wanted;
    try {
      listen(host);
    } catch (IOException e) {
      stopListening();
      throw e;
    }
  }

  private void listen(String host) throws IOException, InterruptedException {
    if (port < 1 || port > 65533) {
      throw new IOException("no three ports in a row at port " + port);
    }
    bind(SocketType.ROUTER, host, port, new Snapshots());
    bind(SocketType.PUB, host, port + 1, publisher);
    bind(SocketType.SUB, host, port + 2, new Collector());
    beats =
        loops
            .next()
            .scheduleAtFixedRate(publisher::beat, BEAT_MILLIS, BEAT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void bind(SocketType type, String host, int at, ZmtpListener events)
      throws IOException, InterruptedException {
    SocketAddress address = new InetSocketAddress(host, at);
    ChannelFuture bound =
        ZmtpSockets.listen(loops, type, address, limits, new Noted(events)).await();
    if (!bound.isSuccess()) {
      throw new IOException(
          "can't listen at " + host + ":" + at + ": " + bound.cause().getMessage());
    }
    listeners.add(bound.channel());
  }

  public int port() {
    return port;
  }

  public void publish(List<? extends ChpMessage> updates) {
    publisher.publish(updates);
  }

  /** No new connections from now on; those that are open go on. */
  public void stopListening() throws InterruptedException {
    for (Channel listener : listeners) {
      listener.close().await();
    }
    listeners.clear();
  }

  /** Writes out what waits, up to the given time, then closes every connection. */
  public void stop(long millis) throws InterruptedException {
    stopListening();
    if (beats != null) {
      beats.cancel(false);
    }
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    for (Channel channel : open) {
      long left = until - System.nanoTime();
      channel
          .writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER)
          .await(Math.max(1, left / 1_000_000));
    }
    open.close().await(Math.max(100, millis));
  }

  /** Passes on, and remembers which connections are open. */
  private final class Noted implements ZmtpListener {
    private final ZmtpListener to;

    Noted(ZmtpListener to) {
      this.to = to;
    }

    @Override
    public void opened(ZmtpConnection peer) {
      open.add(peer.channel());
      to.opened(peer);
    }

    @Override
    public void message(ZmtpConnection peer, List<byte[]> frames) {
      try {
        to.message(peer, frames);
      } catch (ChpException e) {
        peer.close(e.getMessage());
      }
    }

    @Override
    public void subscription(ZmtpConnection peer, byte[] prefix, boolean on) {
      to.subscription(peer, prefix, on);
    }

    @Override
    public void closed(ZmtpConnection peer) {
      to.closed(peer);
    }
  }

  private final class Snapshots implements ZmtpListener {
    @Override
    public void message(ZmtpConnection peer, List<byte[]> frames) {
      backend.snapshotAsked(peer, ChpMessage.readAsk(frames).subtree());
    }
  }

  private final class Collector implements ZmtpListener {
    @Override
    public void opened(ZmtpConnection peer) {
      peer.subscribe(new byte[0]);
    }

    @Override
    public void message(ZmtpConnection peer, List<byte[]> frames) {
      backend.keySet(peer, ChpMessage.readSet(frames));
    }

    @Override
    public void closed(ZmtpConnection peer) {
      backend.collectorClosed(peer);
    }
  }
}
