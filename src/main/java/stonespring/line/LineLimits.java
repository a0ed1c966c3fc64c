package stonespring.line;

/**
 * Limits of a listener.
 *
 * @param maxLineBytes maximum length of a line; a longer line closes its connection
 * @param maxPendingHandshakes number of incomplete handshakes at which the listener stops accepting
 *     connections and closes the oldest of these until there is room
 * @param handshakeTimeoutMillis time after which a connection with an incomplete handshake is
 *     closed
 * @param maxPendingWriteBytes maximum number of bytes that wait to be written to a connection; the
 *     next write beyond it closes the connection
 */
public record LineLimits(
    int maxLineBytes,
    int maxPendingHandshakes,
    int handshakeTimeoutMillis,
    int maxPendingWriteBytes) {}
