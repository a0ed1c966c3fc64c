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
 * One session of a client with a server: it subscribes, waits until its subscription is in force,
 * requests the snapshot and then follows the updates. A session that loses one of its connections,
 * or whose server is silent for too long, ends as a whole. State lives on one event loop, and all
 * calls come from there, {@code connect} excepted.
 */
public final class ChpClient {
  /** Observes a session, on its event loop. */
  public interface Listener {
    /** The snapshot is complete, and updates follow; called again after each {@link #resync}. */
    void snapshotReceived(List<ChpMessage.KvSync> keys, long sequence);

    /** A key was changed or deleted. */
    void updateReceived(ChpMessage.KvPub update);

    /** There is a snapshot, and the server reads the collector's connection, if there is one. */
    default void sessionReady() {}

    /** The session is over; called once. */
    void sessionEnded(String cause);
  }

  private static final int NO_COLLECTOR = 0;

  private final EventLoop loop;
  private final String subtree;
  private final long silenceTimeoutMillis;
  private final Listener listener;
  private final SubtreeReplica replica;
  private final List<ChannelFuture> connectFutures = new ArrayList<>();

  /** The connections; null until their handshakes are complete. */
  private ZmtpConnection snapshotConnection;

  private ZmtpConnection updateConnection;
  private ZmtpConnection collectorConnection;

  /** The publisher sent something, so that the subscription is in force. */
  private boolean subscriptionActive;

  private boolean serverSubscribedToCollector;
  private boolean readyReported;
  private boolean sessionOver;
  private long lastReceivedNanos = System.nanoTime();

  /**
   * Creates a session; it is not connected yet.
   *
   * @param subtree what keys start with; begins and ends with a slash, or is empty for all keys
   * @param silenceTimeoutMillis how long the server may send nothing, not even heartbeats
   */
  public ChpClient(EventLoop loop, String subtree, long silenceTimeoutMillis, Listener listener) {
    this.loop = loop;
    this.subtree = subtree;
    this.silenceTimeoutMillis = silenceTimeoutMillis;
    this.listener = listener;
    this.replica = new SubtreeReplica(listener);
  }

  /**
   * Connects to a server's three ports in a row.
   *
   * @param withCollector whether to connect to the collector too
   */
  public void connect(String host, int snapshotPort, boolean withCollector, ZmtpLimits limits) {
    int collectorPort = withCollector ? snapshotPort + 2 : NO_COLLECTOR;
    connect(host, snapshotPort, snapshotPort + 1, collectorPort, limits);
  }

  /**
   * Connects to three ports, which may be those of a relay.
   *
   * @param collectorPort 0 for no collector
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
            end("can't reach " + host + ":" + port + ": " + future.cause().getMessage());
          }
        });
  }

  private void checkSilence() {
    if (sessionOver) {
      return;
    }
    long silenceNanos = System.nanoTime() - lastReceivedNanos;
    if (silenceNanos > TimeUnit.MILLISECONDS.toNanos(silenceTimeoutMillis)) {
      end("nothing received for " + silenceTimeoutMillis + " ms");
    } else {
      loop.schedule(this::checkSilence, silenceTimeoutMillis / 4, TimeUnit.MILLISECONDS);
    }
  }

  /** Requests a new snapshot, as an update was missed. */
  public void resync() {
    if (replica.isInSync()) {
      replica.markOutOfSync();
      advanceHandshake();
    }
  }

  /** Takes the session's next step, if its conditions are met. */
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

  /** Sets a key at the server; false if the collector is not ready. */
  public boolean set(ChpMessage.KvSet set) {
    if (collectorConnection == null || !serverSubscribedToCollector || sessionOver) {
      return false;
    }
    collectorConnection.writeMessageAndFlush(set.frames());
    return true;
  }

  /** Pauses or resumes reading from the publisher. */
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
        end("snapshot: " + e.getMessage());
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
      end("the snapshot port's connection ended");
    }
  }

  private final class UpdateListener implements ZmtpListener {
    @Override
    public void connectionOpened(ZmtpConnection connection) {
      updateConnection = connection;
      connection.subscribe(ChpMessage.textFrame(subtree));
      // The last one: its first heartbeat shows that the subtree's subscription is in force.
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
        end("update: " + e.getMessage());
      }
      if (!subscriptionActive) {
        subscriptionActive = true;
        advanceHandshake();
      }
    }

    @Override
    public void connectionClosed(ZmtpConnection connection) {
      end("the update port's connection ended");
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
      // Messages sent before the server subscribed would be dropped.
      serverSubscribedToCollector = isSubscribed;
      advanceHandshake();
    }

    @Override
    public void connectionClosed(ZmtpConnection connection) {
      end("the collector's connection ended");
    }
  }
}
