package stonespring.line;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs the reasons for which connections were closed. The number of lines per second is limited;
 * connections beyond the limit are counted, and their number is logged when a connection closes in
 * a later second. State is confined to the listener's event loop.
 */
final class ConnectionCloseLog {
  private static final Logger LOG = LoggerFactory.getLogger(ConnectionCloseLog.class);
  private static final int MAX_LINES_PER_SECOND = 5;

  /** The second of the latest closed connection, by {@link System#nanoTime}. */
  private long currentSecond;

  private int loggedThisSecond;
  private long suppressedThisSecond;

  /**
   * Logs that a connection was closed.
   *
   * @param session the session, whose string form names the peer; null before the handshake is
   *     complete
   */
  void logClosed(Object session, String reason) {
    long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
    if (now != currentSecond) {
      if (suppressedThisSecond > 0) {
        LOG.warn(
            "{} more connections closed within one second; their reasons are not logged",
            suppressedThisSecond);
      }
      currentSecond = now;
      loggedThisSecond = 0;
      suppressedThisSecond = 0;
    }
    if (loggedThisSecond++ < MAX_LINES_PER_SECOND) {
      LOG.warn(
          "connection of {} closed: {}",
          session == null ? "a peer with an incomplete handshake" : session,
          reason);
    } else {
      suppressedThisSecond++;
    }
  }
}
