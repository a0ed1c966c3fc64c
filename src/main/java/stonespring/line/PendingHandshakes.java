package stonespring.line;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The connections of a listener that have not completed their handshake. At their limit accepting
 * pauses; it resumes when there is room, which is made by closing the oldest. State lives on the
 * listener's event loop.
 */
final class PendingHandshakes {
  /**
   * Minimum age before a connection may be closed to make room. It leaves time to read the first
   * message of a prompt peer, also after the event loop was blocked.
   */
  private static final long MIN_HANDSHAKE_MILLIS = 50;

  private final LineLimits limits;

  /** Oldest first. */
  private final Set<LineConnection> connections = new LinkedHashSet<>();

  /** The next eviction; null while connections are accepted. */
  private Future<?> eviction;

  PendingHandshakes(LineLimits limits) {
    this.limits = limits;
  }

  /**
   * Adds a new connection, and pauses accepting at the limit.
   *
   * @return the handshake's timeout, to be cancelled when it is complete
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
      Channel server = connection.channel().parent();
      server.config().setAutoRead(false);
      if (eviction == null) {
        eviction = scheduleEviction(server);
      }
    }
    return timeout;
  }

  /** The peer gets this text. */
  private String timeoutReason() {
    return "not joined within " + limits.handshakeTimeoutMillis() + " ms";
  }

  private boolean isFull() {
    return connections.size() >= limits.maxPendingHandshakes();
  }

  private Future<?> scheduleEviction(Channel server) {
    return server
        .eventLoop()
        .schedule(() -> closeOldest(server), MIN_HANDSHAKE_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Closes the oldest until half of the room is free. */
  private void closeOldest(Channel server) {
    long latestEvictableConnectNanos =
        System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(MIN_HANDSHAKE_MILLIS);
    for (LineConnection oldest : List.copyOf(connections)) {
      if (connections.size() <= limits.maxPendingHandshakes() / 2
          || oldest.connectedAtNanos() - latestEvictableConnectNanos > 0) {
        break;
      }
      oldest.close("too many that have not joined");
    }
    if (eviction != null) {
      eviction = scheduleEviction(server);
    }
  }

  /** Removes a connection whose handshake is complete or that was closed; accepts again. */
  void remove(LineConnection connection) {
    connections.remove(connection);
    if (eviction != null && !isFull()) {
      eviction.cancel(false);
      eviction = null;
      connection.channel().parent().config().setAutoRead(true);
    }
  }
}
