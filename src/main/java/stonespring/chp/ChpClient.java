package stonespring.chp;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import stonespring.zmtp.SocketType;
import stonespring.zmtp.ZmtpConnection;
import stonespring.zmtp.ZmtpLimits;
import stonespring.zmtp.ZmtpListener;
import stonespring.zmtp.ZmtpSockets;

/**
 * A client session with one server. It subscribes to updates, waits until the subscription is
 * active, requests a snapshot and then follows the updates. The whole session ends when one of its
 * connections is lost or the server sends nothing for too long. State is confined to one event
 * loop; all methods but {@code connect} must be called on it.
 */
public final class ChpClient {
  /** Receives the events of a session, on its event loop. */
  public interface Listener {
    /**
     * Called when the snapshot is complete; updates follow. Called again after each {@link
     * #resync}.
     *
     * @param sequence the highest sequence contained in the snapshot
     */
    void snapshotReceived(List<ChpMessage.KvSync> keys, long sequence);

    /** Called when a key was changed, or deleted, which an empty value indicates. */
    void updateReceived(ChpMessage.KvPub update);

    /**
     * Called once the first snapshot is complete and, if the session has a collector connection,
     * the server has subscribed on it.
     */
    default void sessionReady() {}

    /** Called once when the session has ended, also after {@link #close}. */
    void sessionEnded(String cause);
  }

  private static final int NO_COLLECTOR = 0;

  private final EventLoop loop;
  private final String subtree;
  private final long silenceTimeoutMillis;
  private final Listener listener;
  private final SubtreeReplica replica;
  private final List<ChannelFuture> connectFutures = new ArrayList<>();

  /** Null until its handshake is complete. */
  private ZmtpConnection snapshotConnection;

  /** Null until its handshake is complete. */
  private ZmtpConnection updateConnection;

  /** Null until its handshake is complete, and in sessions without a collector. */
  private ZmtpConnection collectorConnection;

  /** Whether the publisher has sent a message, which shows that the subscription is active. */
  private boolean subscriptionActive;

  private boolean serverSubscribedToCollector;
  private boolean readyReported;
  private boolean sessionOver;
  private long lastReceivedNanos = System.nanoTime();

  /**
   * Creates a session that is not connected yet.
   *
   * @param subtree the prefix of all keys of interest; starts and ends with a slash, or is empty
   *     for all keys
   * @param silenceTimeoutMillis the session ends when nothing, not even a heartbeat, is received
   *     for this long
   */
  public ChpClient(EventLoop loop, String subtree, long silenceTimeoutMillis, Listener listener) {
    this.loop = loop;
    this.subtree = subtree;
    this.silenceTimeoutMillis = silenceTimeoutMillis;
    this.listener = listener;
    this.replica = new SubtreeReplica(listener);
  }

  /**
   * Connects to a server, whose ports are consecutive: snapshots, updates, collector.
   *
   * @param withCollector whether to connect to the collector, which {@link #set} needs
   */
  public void connect(String host, int snapshotPort, boolean withCollector, ZmtpLimits limits) {
    int collectorPort = withCollector ? snapshotPort + 2 : NO_COLLECTOR;
    connect(host, snapshotPort, snapshotPort + 1, collectorPort, limits);
  }

  /**
   * Connects to arbitrary ports, such as those of a relay.
   *
   * @param collectorPort 0 to use no collector
   */
  public void connect(
      String host, int snapshotPort, int updatePort, int collectorPort, ZmtpLimits limits) {
    connect(SocketType.DEALER, host, snapshotPort, limits, new SnapshotListener());
    connect(SocketType.SUB, host, updatePort, limits, new UpdateListener());
    if (collectorPort != NO_COLLECTOR) {
      connect(SocketType.PUB, host, collectorPort, limits, new CollectorListener());
    }
    loop.schedule(this::checkSilence, silenceTimeoutMillis / 2, TimeUnit.MILLISECONDS);
  }

  private void connect(
      SocketType type, String host, int port, ZmtpLimits limits, ZmtpListener zmtpListener) {
    ChannelFuture connectFuture =
        ZmtpSockets.connect(loop, type, new InetSocketAddress(host, port), limits, zmtpListener);
    connectFutures.add(connectFuture);
    connectFuture.addListener(
        future -> {
          if (!future.isSuccess()) {
            end("can't connect to " + host + ":" + port + ": " + future.cause().getMessage());
          }
        });
  }

  private void checkSilence() {
    if (sessionOver) {
      return;
    }
    long silenceNanos = System.nanoTime() - lastReceivedNanos;
    if (silenceNanos > TimeUnit.MILLISECONDS.toNanos(silenceTimeoutMillis)) {
      end("nothing received from the server for " + silenceTimeoutMillis + " ms");
    } else {
      loop.schedule(this::checkSilence, silenceTimeoutMillis / 4, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Requests a new snapshot, for a caller that missed an update. No effect while one is pending.
   */
  public void resync() {
    if (replica.isInSync()) {
      replica.markOutOfSync();
      advanceHandshake();
    }
  }

  /**
   * Takes the steps of the handshake that have become possible: requests the snapshot once the
   * subscription is active, and reports the session as ready once the snapshot is complete and, if
   * the collector connection is open, the server has subscribed on it.
   */
  private void advanceHandshake() {
    if (subscriptionActive && snapshotConnection != null && !replica.isSnapshotRequested()) {
      replica.startSnapshot();
      snapshotConnection.writeMessageAndFlush(new ChpMessage.IcanHaz(subtree).frames());
    }
    boolean collectorReady = collectorConnection == null || serverSubscribedToCollector;
    if (replica.isInSync() && !readyReported && collectorReady) {
      readyReported = true;
      listener.sessionReady();
    }
  }

  /** Sets a key at the server; returns false and sends nothing if the collector is not ready. */
  public boolean set(ChpMessage.KvSet set) {
    if (collectorConnection == null || !serverSubscribedToCollector || sessionOver) {
      return false;
    }
    collectorConnection.writeMessageAndFlush(set.frames());
    return true;
  }

  /**
   * Pauses or resumes reading updates, to simulate a stalled client; restarts the silence timer.
   */
  public void setReading(boolean enabled) {
    lastReceivedNanos = System.nanoTime();
    if (updateConnection != null) {
      updateConnection.channel().config().setAutoRead(enabled);
    }
  }

  /** Ends the session. */
  public void close() {
    end("closed");
  }

  private void end(String cause) {
    if (sessionOver) {
      return;
    }
    sessionOver = true;
    replica.stop();
    for (ChannelFuture connectFuture : connectFutures) {
      connectFuture.channel().close();
    }
    listener.sessionEnded(cause);
  }

  private final class SnapshotListener implements ZmtpListener {
    @Override
    public void connectionOpened(ZmtpConnection connection) {
      snapshotConnection = connection;
      advanceHandshake();
    }

    @Override
    public void messageReceived(ZmtpConnection connection, List<byte[]> frames) {
      try {
        acceptSnapshotMessage(ChpDecoder.decodeSnapshot(frames));
      } catch (InvalidChpMessageException e) {
        end("invalid snapshot message: " + e.getMessage());
      }
    }

    private void acceptSnapshotMessage(ChpMessage message) {
      lastReceivedNanos = System.nanoTime();
      if (message instanceof ChpMessage.KvSync key) {
        replica.addSnapshotKey(key);
      } else if (message instanceof ChpMessage.Kthxbai snapshotEnd
          && replica.completeSnapshot(snapshotEnd.sequence())) {
        advanceHandshake();
      }
    }

    @Override
    public void connectionClosed(ZmtpConnection connection) {
      end("the connection to the snapshot port was closed");
    }
  }

  private final class UpdateListener implements ZmtpListener {
    @Override
    public void connectionOpened(ZmtpConnection connection) {
      updateConnection = connection;
      connection.subscribe(ChpMessage.textFrame(subtree));
      // Must follow the subscription to the subtree: the server handles subscriptions in order, so
      // the first heartbeat shows that the subtree's updates are subscribed to.
      connection.subscribe(ChpMessage.textFrame(ChpMessage.HUGZ));
    }

    @Override
    public void messageReceived(ZmtpConnection connection, List<byte[]> frames) {
      lastReceivedNanos = System.nanoTime();
      try {
        if (ChpDecoder.decodeUpdate(frames) instanceof ChpMessage.KvPub update) {
          replica.applyOrBuffer(update);
        }
      } catch (InvalidChpMessageException e) {
        end("invalid update message: " + e.getMessage());
      }
      if (!subscriptionActive) {
        subscriptionActive = true;
        advanceHandshake();
      }
    }

    @Override
    public void connectionClosed(ZmtpConnection connection) {
      end("the connection to the update port was closed");
    }
  }

  private final class CollectorListener implements ZmtpListener {
    @Override
    public void connectionOpened(ZmtpConnection connection) {
      collectorConnection = connection;
    }

    @Override
    public void subscriptionChanged(
        ZmtpConnection connection, byte[] prefix, boolean isSubscribed) {
      // Keys can be set only while this is true: a PUB socket drops messages that are sent before
      // the server has subscribed.
      serverSubscribedToCollector = isSubscribed;
      advanceHandshake();
    }

    @Override
    public void connectionClosed(ZmtpConnection connection) {
      end("the connection to the collector was closed");
    }
  }
}
