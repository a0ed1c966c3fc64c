package stonespring.line;

/**
 * Limits of a listener.
 *
 * @param maxLineBytes a longer line ends its connection
 * @param maxPendingHandshakes at this many connections without a completed handshake accepting
 *     pauses, and the oldest of them are closed
 * @param handshakeTimeoutMillis a connection that takes longer is closed
 * @param maxPendingWriteBytes a connection for which more waits to be written is closed
 */
public record LineLimits(
    int maxLineBytes,
    int maxPendingHandshakes,
    int handshakeTimeoutMillis,
    int maxPendingWriteBytes) {}
