package stonespring.line;

/**
 * Handles the messages that a listener's connections receive, and the end of these connections.
 * Called on the listener's event loop.
 */
public interface LineHandler {
  /** Handles a message. Keep-alives are not passed on: the connection answers them. */
  void handleMessage(LineConnection connection, LineMessage message);

  /**
   * Handles the end of a connection that has a {@link LineConnection#setSession session}; called
   * once per connection.
   */
  void handleClosed(LineConnection connection);
}
