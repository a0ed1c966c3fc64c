package stonespring.chp;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import stonespring.netty.IncomingLimits;
import stonespring.netty.IncomingMessages;
import stonespring.zmtp.SocketType;
import stonespring.zmtp.ZmtpConnection;
import stonespring.zmtp.ZmtpLimits;
import stonespring.zmtp.ZmtpListener;
import stonespring.zmtp.ZmtpSockets;

/**
 * A CHP server with three consecutive ports: snapshots at P, updates at P+1, the collector at P+2.
 * A {@link ChpBackend} handles the messages of clients.
 */
public final class ChpServer {
  /** Number of listening sockets: snapshots, updates and the collector. */
  public static final int LISTENER_COUNT = 3;

  /** RFC 12 specifies a heartbeat about once a second. */
  private static final long HEARTBEAT_INTERVAL_MILLIS = 1_000;

  /** Maximum number of attempts to find three free consecutive ports. */
  private static final int MAX_FREE_PORT_ATTEMPTS = 50;

  /** Highest snapshot port: the two ports that follow must be valid too. */
  private static final int MAX_SNAPSHOT_PORT = 65_533;

  private static final long MIN_CLOSE_WAIT_MILLIS = 100;

  private final EventLoopGroup loops;
  private final ZmtpLimits limits;
  private final ChpBackend backend;
  private final IncomingMessages messages = new IncomingMessages(IncomingLimits.ofThisProcess());
  private final UpdatePublisher publisher;
  private final ChannelGroup connections;
  private final List<Channel> listeningChannels = new ArrayList<>();
  private Future<?> heartbeatTask;
  private Future<?> timeoutCheck;
  private int port;

  /**
   * Creates a server that does not listen yet.
   *
   * @param loops a group of exactly one event loop, as the subscriptions of all connections are
   *     confined to it
   */
  public ChpServer(EventLoopGroup loops, ZmtpLimits limits, ChpBackend backend) {
    this.loops = loops;
    this.limits = limits;
    this.backend = backend;
    EventLoop loop = loops.next();
    this.publisher = new UpdatePublisher(loop);
    this.connections = new DefaultChannelGroup(loop);
  }

  /**
   * Binds the three ports and waits until they are bound.
   *
   * @param snapshotPort the first of the three ports, or 0 for any three free consecutive ports
   * @throws IOException if a port can't be bound; the message names the port
   */
  public void start(String host, int snapshotPort) throws IOException, InterruptedException {
    if (snapshotPort == 0 && listenAtFreePorts(host)) {
      return;
    }
    port = snapshotPort;
    try {
      listen(host);
    } catch (IOException e) {
      stopListening();
      throw e;
    }
  }

  private boolean listenAtFreePorts(String host) throws IOException, InterruptedException {
    for (int attempt = 0; attempt < MAX_FREE_PORT_ATTEMPTS; attempt++) {
      try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(host))) {
        port = probe.getLocalPort();
      }
      try {
        listen(host);
        return true;
      } catch (IOException e) {
        stopListening();
      }
    }
    return false;
  }

  private void listen(String host) throws IOException, InterruptedException {
    if (port < 1 || port > MAX_SNAPSHOT_PORT) {
      throw new IOException(
          "can't listen at three consecutive ports from port "
              + port
              + ": expected a port from 1 to "
              + MAX_SNAPSHOT_PORT);
    }
    bind(SocketType.ROUTER, host, port, new SnapshotListener());
    bind(SocketType.PUB, host, port + 1, publisher);
    bind(SocketType.SUB, host, port + 2, new CollectorListener());
    heartbeatTask =
        loops
            .next()
            .scheduleAtFixedRate(
                publisher::sendHeartbeats,
                HEARTBEAT_INTERVAL_MILLIS,
                HEARTBEAT_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    timeoutCheck = messages.startTimeoutChecks(loops.next());
  }

  private void bind(SocketType type, String host, int bindPort, ZmtpListener listener)
      throws IOException, InterruptedException {
    ChannelFuture bindFuture =
        ZmtpSockets.listen(
                loops,
                type,
                new InetSocketAddress(host, bindPort),
                limits,
                new TrackingListener(listener),
                messages)
            .await();
    if (!bindFuture.isSuccess()) {
      throw new IOException(
          "can't listen at " + host + ":" + bindPort + ": " + bindFuture.cause().getMessage());
    }
    listeningChannels.add(bindFuture.channel());
  }

  /** Returns the snapshot port; valid once the server listens. */
  public int port() {
    return port;
  }

  /** Sends updates to their subscribers, in order. May be called from any thread. */
  public void publish(List<? extends ChpMessage> updates) {
    publisher.publish(updates);
  }

  /** Stops accepting connections; open connections are kept. */
  public void stopListening() throws InterruptedException {
    for (Channel listener : listeningChannels) {
      listener.close().await();
    }
    listeningChannels.clear();
  }

  /**
   * Stops listening, sends all pending messages and closes all connections.
   *
   * @param writeTimeoutMillis the maximum wait for pending writes, for all connections together
   */
  public void stop(long writeTimeoutMillis) throws InterruptedException {
    stopListening();
    if (heartbeatTask != null) {
      heartbeatTask.cancel(false);
      timeoutCheck.cancel(false);
    }
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(writeTimeoutMillis);
    for (Channel connection : connections) {
      long remainingNanos = deadlineNanos - System.nanoTime();
      connection
          .writeAndFlush(Unpooled.EMPTY_BUFFER)
          .await(Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos)));
    }
    connections.close().await(Math.max(MIN_CLOSE_WAIT_MILLIS, writeTimeoutMillis));
  }

  /** Records open connections for {@link #stop} and closes those that send invalid messages. */
  private final class TrackingListener implements ZmtpListener {
    private final ZmtpListener delegate;

    TrackingListener(ZmtpListener delegate) {
      this.delegate = delegate;
    }

    @Override
    public void connectionOpened(ZmtpConnection connection) {
      connections.add(connection.channel());
      delegate.connectionOpened(connection);
    }

    @Override
    public void messageReceived(ZmtpConnection connection, List<byte[]> frames) {
      try {
        delegate.messageReceived(connection, frames);
      } catch (InvalidChpMessageException e) {
        connection.close(e.getMessage());
      }
    }

    @Override
    public void subscriptionChanged(ZmtpConnection connection, byte[] prefix, boolean subscribed) {
      delegate.subscriptionChanged(connection, prefix, subscribed);
    }

    @Override
    public void connectionClosed(ZmtpConnection connection) {
      delegate.connectionClosed(connection);
    }
  }

  private final class SnapshotListener implements ZmtpListener {
    @Override
    public void messageReceived(ZmtpConnection connection, List<byte[]> frames) {
      backend.snapshotRequested(connection, ChpDecoder.decodeRequest(frames).subtree());
    }
  }

  private final class CollectorListener implements ZmtpListener {
    @Override
    public void connectionOpened(ZmtpConnection connection) {
      connection.subscribe(ChpMessage.EMPTY_FRAME);
    }

    @Override
    public void messageReceived(ZmtpConnection connection, List<byte[]> frames) {
      backend.keySet(connection, ChpDecoder.decodeSet(frames));
    }

    @Override
    public void connectionClosed(ZmtpConnection connection) {
      backend.collectorClosed(connection);
    }
  }
}
