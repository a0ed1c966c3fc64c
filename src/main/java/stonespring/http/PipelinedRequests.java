package stonespring.http;

import java.util.ArrayDeque;
import stonespring.netty.IncomingMessages;

/**
 * The requests of a connection that wait while an earlier one is handled. Their number, and the
 * memory of those of all connections, are limited. Beyond the limits requests are only counted and
 * will be rejected, until all that wait have been answered. Confined to one event loop.
 */
final class PipelinedRequests {
  private static final int MAX_WAITING_REQUESTS = 64;

  private final IncomingMessages messages;
  private final ArrayDeque<HttpRequest> waiting = new ArrayDeque<>();

  /** Number of requests after those that wait, which will be rejected. */
  private long rejectedCount;

  PipelinedRequests(IncomingMessages messages) {
    this.messages = messages;
  }

  void add(HttpRequest request) {
    if (rejectedCount == 0
        && waiting.size() < MAX_WAITING_REQUESTS
        && messages.reserve(request.memoryBytes())) {
      waiting.add(request);
    } else {
      rejectedCount++;
    }
  }

  boolean isEmpty() {
    return waiting.isEmpty() && rejectedCount == 0;
  }

  /** Removes the next request if it is to be rejected, and returns whether it was. */
  boolean pollRejection() {
    if (!waiting.isEmpty() || rejectedCount == 0) {
      return false;
    }
    rejectedCount--;
    return true;
  }

  /**
   * Removes and returns the next request, which is not to be rejected. {@link #release} must follow
   * once it has been handled.
   */
  HttpRequest pollRequest() {
    return waiting.remove();
  }

  /** Releases the memory of a request that has been handled. */
  void release(HttpRequest request) {
    messages.release(request.memoryBytes());
  }

  /** Drops all requests that wait. */
  void clear() {
    waiting.forEach(this::release);
    waiting.clear();
    rejectedCount = 0;
  }
}
