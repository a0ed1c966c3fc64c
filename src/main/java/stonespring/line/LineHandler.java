package stonespring.line;

/** What happens on a listener's connections; all calls come from its event loop. */
public interface LineHandler {
  void message(LineConnection peer, LineMessage message);

  /** A connection that was {@link LineConnection#keep kept} has ended; told once. */
  void closed(LineConnection peer);
}
