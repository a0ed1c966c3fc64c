package stonespring.zmtp;

import java.util.List;

/** Receives the events of connections, each on the event loop of its connection. */
public interface ZmtpListener {
  /** Called when the handshake is complete. */
  default void connectionOpened(ZmtpConnection connection) {}

  /** Called for each message received. An exception thrown here closes the connection. */
  default void messageReceived(ZmtpConnection connection, List<byte[]> frames) {}

  /**
   * Called when the peer subscribed to messages that start with the prefix, or cancelled such a
   * subscription.
   *
   * @param subscribed false for a cancelled subscription
   */
  default void subscriptionChanged(ZmtpConnection connection, byte[] prefix, boolean subscribed) {}

  /** Called once when the connection is closed, even if its handshake was never completed. */
  default void connectionClosed(ZmtpConnection connection) {}
}
