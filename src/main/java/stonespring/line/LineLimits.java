package stonespring.line;

/**
 * Limits of a listener.
 *
 * @param maxLineBytes maximum length of a line; a longer line closes its connection
 * @param maxPendingHandshakes number of connections with an incomplete handshake at which the
 *     listener stops accepting connections and starts to close the oldest of those with an
 *     incomplete handshake
 * @param maxConnections number of open connections above which new ones are refused
 * @param handshakeTimeoutMillis time after which a connection with an incomplete handshake is
 *     closed
 * @param maxPendingWriteBytes maximum number of bytes that wait to be written to a connection; if
 *     it is exceeded, the next write closes the connection instead
 */
public record LineLimits(
    int maxLineBytes,
    int maxPendingHandshakes,
    int maxConnections,
    int handshakeTimeoutMillis,
    int maxPendingWriteBytes) {}
