package stonespring.http;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The open connections of a server. When their number exceeds the limit, the connection closes that
 * has not had a request handled for the longest time, so that silent peers do not keep others out.
 * Thread-safe.
 */
final class OpenConnections {
  private final int maxConnections;

  /** Connections without a request in progress, the one that has been so for longest in front. */
  private final Set<HttpServerConnection> idle = new LinkedHashSet<>();

  private int count;

  OpenConnections(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  synchronized void add(HttpServerConnection connection) {
    count++;
    idle.add(connection);
    if (count > maxConnections) {
      HttpServerConnection longestIdle = idle.iterator().next();
      idle.remove(longestIdle);
      longestIdle.evict();
    }
  }

  /** Records that a request of the connection is in progress, so that it is not closed. */
  synchronized void markBusy(HttpServerConnection connection) {
    idle.remove(connection);
  }

  /** Records that no request of the connection is in progress any more. */
  synchronized void markIdle(HttpServerConnection connection) {
    idle.add(connection);
  }

  /** Records that a connection has closed. */
  synchronized void remove(HttpServerConnection connection) {
    count--;
    idle.remove(connection);
  }
}
