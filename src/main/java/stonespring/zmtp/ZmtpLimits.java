package stonespring.zmtp;

/**
 * Limits of a connection. One that exceeds them, or takes longer for its handshake, is closed.
 *
 * @param maxFrameBytes the longest frame
 * @param maxMessageBytes the longest message, all frames together
 * @param maxFrames the most frames of a message
 * @param maxPendingBytes the most bytes that may wait to be written
 * @param maxSubscriptions the most prefixes that a peer may subscribe to
 * @param handshakeTimeoutMillis how long a handshake may take
 * @param maxConnections the most connections of one listener; further ones are closed before their
 *     greeting
 */
public record ZmtpLimits(
    int maxFrameBytes,
    int maxMessageBytes,
    int maxFrames,
    int maxPendingBytes,
    int maxSubscriptions,
    long handshakeTimeoutMillis,
    int maxConnections) {
  /** The limits of clients and, but for the number of connections, of servers. */
  public static final ZmtpLimits DEFAULT =
      new ZmtpLimits(1 << 20, 2 << 20, 64, 8 << 20, 256, 10_000, 10_000);
}
