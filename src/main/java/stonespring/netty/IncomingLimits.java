package stonespring.netty;

/**
 * Limits on what the peers of one listener may make it hold, so that no crowd of peers uses up the
 * heap.
 *
 * @param maxIncompleteBytes maximum size of all incomplete messages together
 * @param maxPendingBytes maximum size of all complete messages together that wait or are handled
 * @param maxConnections maximum number of open connections
 * @param messageTimeoutMillis maximum time from the first byte of a message to its last one
 */
public record IncomingLimits(
    long maxIncompleteBytes, long maxPendingBytes, int maxConnections, long messageTimeoutMillis) {
  /** Part of the heap for incomplete messages, and as much again for complete ones. */
  private static final int HEAP_DIVISOR = 8;

  /** Heap for each connection: its channel, its handlers and the buffer of a read. */
  private static final int HEAP_BYTES_PER_CONNECTION = 64 << 10;

  private static final long MESSAGE_TIMEOUT_MILLIS = 20_000;

  /** Returns the limits of a listener in a process whose maximum heap has the given size. */
  public static IncomingLimits ofHeap(long maxHeapBytes) {
    return new IncomingLimits(
        maxHeapBytes / HEAP_DIVISOR,
        maxHeapBytes / HEAP_DIVISOR,
        (int) Math.min(Integer.MAX_VALUE, maxHeapBytes / HEAP_BYTES_PER_CONNECTION),
        MESSAGE_TIMEOUT_MILLIS);
  }

  /** Returns the limits of a listener in this process. */
  public static IncomingLimits ofThisProcess() {
    return ofHeap(Runtime.getRuntime().maxMemory());
  }
}
