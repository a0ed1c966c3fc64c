package stonespring.line;

/** What happens on a listener's connections; all calls come from its event loop. */
public interface LineEvents {
  void message(LinePeer peer, LineMessage message);

  /** A connection that was {@link LinePeer#keep kept} has ended; told once. */
  void closed(LinePeer peer);
}
