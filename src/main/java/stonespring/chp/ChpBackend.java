package stonespring.chp;

import stonespring.zmtp.ZmtpConnection;

/**
 * What stands behind a server's three ports. Calls come on the server's event loop and must not
 * block; what is sent back may be sent from any thread.
 */
public interface ChpBackend {
  /** A client asks for a subtree; the answer is its KVSYNCs and one KTHXBAI. */
  void snapshotAsked(ZmtpConnection peer, String subtree);

  /** A client sets a key. A {@link ChpException} ends its connection. */
  void keySet(ZmtpConnection peer, ChpMessage.KvSet set);

  /** A collector's connection ended. */
  void collectorClosed(ZmtpConnection peer);
}
