package stonespring.line;

/** Handles what happens on a listener's connections; all calls come from its event loop. */
public interface LineHandler {
  /** Handles a message; keep-alives are answered by the connection itself. */
  void handleMessage(LineConnection connection, LineMessage message);

  /** A connection with a {@link LineConnection#setSession session} was closed; called once. */
  void handleClosed(LineConnection connection);
}
