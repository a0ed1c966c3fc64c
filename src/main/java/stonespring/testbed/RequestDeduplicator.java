package stonespring.testbed;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides which executions of requests take effect: a repeated request of a class with a
 * deduplication window has none within that window. Not thread-safe.
 */
final class RequestDeduplicator {
  private final Map<String, Double> windowMillisByClass;
  private final Map<String, Double> effectMillisByRequestId = new HashMap<>();

  RequestDeduplicator(Map<String, Double> windowMillisByClass) {
    this.windowMillisByClass = windowMillisByClass;
  }

  /** Whether a request that is executed now takes effect. */
  boolean recordExecution(String requestId, String requestClass, double nowMillis) {
    Double windowMillis = windowMillisByClass.get(requestClass);
    if (windowMillis == null) {
      return true;
    }
    effectMillisByRequestId.values().removeIf(at -> nowMillis - at > windowMillis);
    return effectMillisByRequestId.putIfAbsent(requestId, nowMillis) == null;
  }
}
