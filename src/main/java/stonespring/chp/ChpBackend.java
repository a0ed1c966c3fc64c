package stonespring.chp;

import stonespring.zmtp.ZmtpConnection;

/**
 * What a server serves. Calls come from the server's event loop and must not block; messages may be
 * sent on a connection from any thread. An {@link InvalidChpMessageException} closes the
 * connection.
 */
public interface ChpBackend {
  /**
   * A client requests a snapshot of a subtree; it is answered by {@link ChpMessage.KvSync}s and one
   * {@link ChpMessage.Kthxbai}.
   */
  void snapshotRequested(ZmtpConnection connection, String subtree);

  /** A client sets a key. */
  void keySet(ZmtpConnection connection, ChpMessage.KvSet set);

  /** A connection to the collector was closed. */
  void collectorClosed(ZmtpConnection connection);
}
