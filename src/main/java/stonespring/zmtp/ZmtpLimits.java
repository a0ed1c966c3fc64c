package stonespring.zmtp;

/**
 * Limits of a connection. A connection that exceeds one of them is closed.
 *
 * @param maxFrameBytes the maximum size of a frame's body
 * @param maxMessageBytes the maximum size of a message: the sum of its frames' bodies
 * @param maxFrames the maximum number of frames in a message
 * @param maxPendingBytes the maximum number of bytes that may wait to be sent to the peer
 * @param maxSubscriptions the maximum number of subscriptions of a peer
 * @param handshakeTimeoutMillis the maximum time from connecting to the peer's READY
 * @param maxConnections the maximum number of open connections per listening socket; further ones
 *     are closed before the greeting is sent
 */
public record ZmtpLimits(
    int maxFrameBytes,
    int maxMessageBytes,
    int maxFrames,
    int maxPendingBytes,
    int maxSubscriptions,
    long handshakeTimeoutMillis,
    int maxConnections) {
  /** The limits of clients; servers use them with their own {@code maxConnections}. */
  public static final ZmtpLimits DEFAULT =
      new ZmtpLimits(1 << 20, 2 << 20, 64, 8 << 20, 256, 10_000, 10_000);
}
