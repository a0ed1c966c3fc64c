package stonespring.line;

/** Handles the messages and the end of a listener's connections, on the listener's event loop. */
public interface LineHandler {
  /** Handles a message. Keep-alives are not passed on: the connection answers them. */
  void handleMessage(LineConnection connection, LineMessage message);

  /**
   * Handles the end of a connection that has a {@link LineConnection#setSession session}; called
   * once per connection.
   */
  void handleClosed(LineConnection connection);
}
