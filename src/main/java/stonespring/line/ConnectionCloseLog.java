package stonespring.line;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs why connections were closed, some of them in each second; the rest are counted. Lives on the
 * listener's event loop.
 */
final class ConnectionCloseLog {
  private static final Logger LOG = LoggerFactory.getLogger(ConnectionCloseLog.class);
  private static final int MAX_LINES_PER_SECOND = 5;

  private long second;
  private int logged;
  private long suppressed;

  /**
   * Logs that a connection was closed.
   *
   * @param session null for one that did not complete its handshake
   */
  void closed(Object session, String reason) {
    long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
    if (now != second) {
      if (suppressed > 0) {
        LOG.warn("{} more connections ended", suppressed);
      }
      second = now;
      logged = 0;
      suppressed = 0;
    }
    if (logged++ < MAX_LINES_PER_SECOND) {
      LOG.warn(
          "connection of {} ended: {}",
          session == null ? "a peer that has not joined" : session,
          reason);
    } else {
      suppressed++;
    }
  }
}
