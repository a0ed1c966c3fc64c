package stonespring.zmtp;

import java.util.List;

/** Observes connections; all calls for one come from its event loop. */
public interface ZmtpListener {
  /** The handshake is complete. */
  default void connectionOpened(ZmtpConnection connection) {}

  /** A message arrived. An exception closes the connection. */
  default void messageReceived(ZmtpConnection connection, List<byte[]> frames) {}

  /** The peer subscribed to messages that start with a prefix, or cancelled a subscription. */
  default void subscriptionChanged(ZmtpConnection connection, byte[] prefix, boolean subscribed) {}

  /** The connection was closed, whether or not its handshake was complete; called once. */
  default void connectionClosed(ZmtpConnection connection) {}
}
