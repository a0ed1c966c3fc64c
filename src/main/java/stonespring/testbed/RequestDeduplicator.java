package stonespring.testbed;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides which executions of requests take effect. Within the deduplication window of its request
 * class, a repeated request has no effect; requests of classes without a window always have one.
 * Not thread-safe.
 */
final class RequestDeduplicator {
  private final Map<String, Double> windowMillisByClass;
  private final Map<String, Double> effectMillisByRequestId = new HashMap<>();

  /**
   * Creates a deduplicator that knows no requests.
   *
   * @param windowMillisByClass the deduplication window of each request class that has one
   */
  RequestDeduplicator(Map<String, Double> windowMillisByClass) {
    this.windowMillisByClass = windowMillisByClass;
  }

  /** Records that a request is executed now; returns whether the execution takes effect. */
  boolean recordExecution(String requestId, String requestClass, double nowMillis) {
    Double windowMillis = windowMillisByClass.get(requestClass);
    if (windowMillis == null) {
      return true;
    }
    effectMillisByRequestId.values().removeIf(at -> nowMillis - at > windowMillis);
    return effectMillisByRequestId.putIfAbsent(requestId, nowMillis) == null;
  }
}
