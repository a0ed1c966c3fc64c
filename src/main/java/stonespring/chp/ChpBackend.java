package stonespring.chp;

import stonespring.zmtp.ZmtpConnection;

/**
 * Handles the client messages that a {@link ChpServer} receives. Methods are called on the server's
 * event loop and must not block; responses may be written to a connection from any thread. An
 * {@link InvalidChpMessageException} thrown by a method closes the connection.
 */
public interface ChpBackend {
  /**
   * Called when a client requests a snapshot of a subtree. The backend answers with one {@link
   * ChpMessage.KvSync} per key, followed by a {@link ChpMessage.Kthxbai}.
   */
  void snapshotRequested(ZmtpConnection connection, String subtree);

  /** Called when a client sets or deletes a key. */
  void keySet(ZmtpConnection connection, ChpMessage.KvSet set);

  /** Called when a connection to the collector port was closed. */
  void collectorClosed(ZmtpConnection connection);
}
