package stonespring.testbed;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides which executions of requests take effect: a repeated request of a class with a
 * deduplication window has none within that window. Not thread-safe.
 */
final class EffectLedger {
  private final Map<String, Double> windowMillisByClass;
  private final Map<String, Double> effectAtMillis = new HashMap<>();

  EffectLedger(Map<String, Double> windowMillisByClass) {
    this.windowMillisByClass = windowMillisByClass;
  }

  /** Whether a request that is executed now takes effect. */
  boolean takesEffect(String requestId, String requestClass, double nowMillis) {
    Double window = windowMillisByClass.get(requestClass);
    if (window == null) {
      return true;
    }
    effectAtMillis.values().removeIf(at -> nowMillis - at > window);
    return effectAtMillis.putIfAbsent(requestId, nowMillis) == null;
  }
}
