package stonespring.line;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.netty.AcceptGate;
import stonespring.netty.EpisodeLog;

/**
 * The connections of a listener whose handshake is incomplete. When their number reaches the limit,
 * the listener stops accepting connections, and the oldest pending ones are closed. The listener
 * accepts connections again when the number is below the limit. State is confined to the listener's
 * event loop.
 */
final class PendingHandshakes {
  /**
   * Minimum age of a connection that is closed to make room. It leaves time to read the first
   * message of a peer that sends it immediately, even after the event loop was blocked.
   */
  private static final long MIN_HANDSHAKE_MILLIS = 50;

  private static final Logger LOG = LoggerFactory.getLogger(PendingHandshakes.class);

  private final LineLimits limits;
  private final AcceptGate acceptGate;
  private final EpisodeLog fullLog = new EpisodeLog();

  /** Connections in the order in which they were established, the oldest first. */
  private final Set<LineConnection> connections = new LinkedHashSet<>();

  /** The next scheduled call of {@link #closeOldest}; null while connections are accepted. */
  private Future<?> eviction;

  PendingHandshakes(LineLimits limits, AcceptGate acceptGate) {
    this.limits = limits;
    this.acceptGate = acceptGate;
  }

  /**
   * Adds a new connection, and stops accepting if the limit is reached.
   *
   * @return the scheduled timeout of the handshake, to be cancelled when the handshake ends
   */
  Future<?> add(LineConnection connection) {
    connections.add(connection);
    Future<?> timeout =
        connection
            .channel()
            .eventLoop()
            .schedule(
                () -> connection.close(timeoutReason()),
                limits.handshakeTimeoutMillis(),
                TimeUnit.MILLISECONDS);
    if (isFull()) {
      pauseAccepting(connection.channel().eventLoop());
    }
    return timeout;
  }

  private void pauseAccepting(EventLoop eventLoop) {
    acceptGate.pause(AcceptGate.PauseReason.PENDING_HANDSHAKES);
    if (eviction == null) {
      eviction = scheduleEviction(eventLoop);
    }
    if (fullLog.shouldLog()) {
      LOG.warn(
          "Too many open files: accepting pauses until one of the {} connections that have not joined"
              + " joins or is closed",
          connections.size());
    }
  }

  /**
   * Returns the reason for closing a connection whose handshake timed out; it is also sent to the
   * peer.
   */
  private String timeoutReason() {
    return "not joined within " + limits.handshakeTimeoutMillis() + " ms";
  }

  private boolean isFull() {
    return connections.size() >= limits.maxPendingHandshakes();
  }

  private Future<?> scheduleEviction(EventLoop eventLoop) {
    return eventLoop.schedule(
        () -> closeOldest(eventLoop), MIN_HANDSHAKE_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Closes the oldest connections that have reached the minimum age, until half of the limit is
   * free.
   */
  private void closeOldest(EventLoop eventLoop) {
    long latestEvictableConnectNanos =
        System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(MIN_HANDSHAKE_MILLIS);
    for (LineConnection oldest : List.copyOf(connections)) {
      if (connections.size() <= limits.maxPendingHandshakes() / 2
          || oldest.connectedAtNanos() - latestEvictableConnectNanos > 0) {
        break;
      }
      // Refusals call a peer joined when its handshake is complete.
      oldest.close("too many that have not joined");
    }
    if (eviction != null) {
      eviction = scheduleEviction(eventLoop);
    }
  }

  /**
   * Removes a connection whose handshake is complete or that was closed, and resumes accepting if
   * there is room.
   */
  void remove(LineConnection connection) {
    connections.remove(connection);
    if (eviction != null && !isFull()) {
      eviction.cancel(false);
      eviction = null;
      acceptGate.resume(AcceptGate.PauseReason.PENDING_HANDSHAKES);
    }
  }
}
