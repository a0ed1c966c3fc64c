package stonespring.line;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.netty.LogRateLimit;

/** Logs the reasons for which connections were closed, a limited number of them per second. */
final class ConnectionCloseLog {
  private static final Logger LOG = LoggerFactory.getLogger(ConnectionCloseLog.class);
  private static final int MAX_LINES_PER_SECOND = 5;

  private final LogRateLimit limit =
      new LogRateLimit(LOG, MAX_LINES_PER_SECOND, "connections closed");

  /**
   * Logs that a connection was closed.
   *
   * @param session the session, whose string form names the peer; null before the handshake is
   *     complete
   */
  void logClosed(Object session, String reason) {
    if (limit.shouldLog()) {
      LOG.warn(
          "connection of {} closed: {}",
          session == null ? "a peer with an incomplete handshake" : session,
          reason);
    }
  }
}
