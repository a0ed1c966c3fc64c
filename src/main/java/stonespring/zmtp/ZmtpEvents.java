package stonespring.zmtp;

import java.util.List;

/**
 * What an owner of connections hears of them; all calls for one peer come on that peer's event
 * loop.
 */
public interface ZmtpEvents {
  /** The handshake is done. */
  default void opened(ZmtpPeer peer) {}

  default void message(ZmtpPeer peer, List<byte[]> frames) {}

  /** A subscriber wants, or no longer wants, what starts with the prefix. */
  default void subscription(ZmtpPeer peer, byte[] prefix, boolean on) {}

  /** The connection ended, also one whose handshake never was done. Comes once. */
  default void closed(ZmtpPeer peer) {}
}
