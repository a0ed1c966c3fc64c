package stonespring.line;

/**
 * Bounds of a listener. What gives way: a line over {@code lineBytes} ends its connection; a
 * connection not kept within {@code unjoinedMillis} is closed, and of more than {@code unjoined} of
 * them the oldest; a peer for which over {@code pendingBytes} wait is cut off.
 */
public record LineLimits(int lineBytes, int unjoined, int unjoinedMillis, int pendingBytes) {}
