package stonespring.zmtp;

/**
 * Bounds of one connection. What gives way: a frame, message or backlog over its bound, and a
 * handshake that takes longer, end the connection; a connection over {@code connections} at one
 * listener is closed before its greeting.
 *
 * @param frameBytes the longest frame taken
 * @param messageBytes the longest message taken, all frames together
 * @param frames the most frames of a message
 * @param pendingBytes the most bytes that wait to be written to one peer
 * @param subscriptions the most prefixes that one peer subscribes to
 * @param handshakeMillis how long a handshake may take, milliseconds
 * @param connections the most connections at one listener
 */
public record ZmtpLimits(
    int frameBytes,
    int messageBytes,
    int frames,
    int pendingBytes,
    int subscriptions,
    long handshakeMillis,
    int connections) {
  public static final ZmtpLimits USUAL =
      new ZmtpLimits(1 << 20, 2 << 20, 64, 8 << 20, 256, 10_000, 10_000);
}
