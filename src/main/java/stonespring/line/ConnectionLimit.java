package stonespring.line;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stonespring.netty.EpisodeLog;

/**
 * Counts the open connections of a listener, so that the process keeps file descriptors for other
 * purposes. State is confined to the listener's event loop.
 */
final class ConnectionLimit {
  private static final Logger LOG = LoggerFactory.getLogger(ConnectionLimit.class);

  private final int maxConnections;
  private final EpisodeLog refusalLog = new EpisodeLog();
  private int openConnections;

  ConnectionLimit(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  /** Counts a new connection; returns false if it is to be closed because the limit is exceeded. */
  boolean add() {
    openConnections++;
    if (openConnections <= maxConnections) {
      return true;
    }
    if (refusalLog.shouldLog()) {
      LOG.warn(
          "Too many open files for another connection: {} are open, the other file descriptors are"
              + " reserved; new connections are refused until one closes",
          maxConnections);
    }
    return false;
  }

  /** Counts a connection that has closed; must be called once for each call of {@link #add}. */
  void remove() {
    openConnections--;
  }
}
