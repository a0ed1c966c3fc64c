package stonespring.testbed.virtual;

import java.util.HashMap;
import java.util.Map;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;

/** The connections of a proxy to endpoints. Times are in {@link DeciMillis}. */
final class ConnectionTable {
  /** Time after which an unused connection is closed. */
  private static final long IDLE_TIMEOUT_DECI_MILLIS = 15 * DeciMillis.SECOND;

  /** Last use of an endpoint that was never used; long enough ago to be over the idle timeout. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Map<String, Long> lastUsedAt = new HashMap<>();

  /** Uses the connection to an endpoint; returns whether it had to be opened. */
  boolean use(EndpointId endpoint, long now) {
    boolean isOpened =
        lastUsedAt.getOrDefault(endpoint.name(), NEVER) < now - IDLE_TIMEOUT_DECI_MILLIS;
    lastUsedAt.put(endpoint.name(), now);
    return isOpened;
  }

  void close(EndpointId endpoint) {
    lastUsedAt.remove(endpoint.name());
  }
}
