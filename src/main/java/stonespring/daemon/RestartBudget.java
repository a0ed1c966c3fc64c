package stonespring.daemon;

import java.util.ArrayDeque;
import stonespring.model.DeciMillis;

/**
 * Limits how often the decision engine may be restarted within a sliding window. Time is passed in,
 * {@link DeciMillis}.
 */
final class RestartBudget {
  private static final int MAX_RESTARTS = 10;
  private static final long WINDOW = 3_600 * DeciMillis.SECOND;

  private final ArrayDeque<Long> restartedAt = new ArrayDeque<>();

  /** Counts a restart; returns false if it exceeds the budget. */
  boolean tryRestart(long now) {
    while (!restartedAt.isEmpty() && now - restartedAt.peek() > WINDOW) {
      restartedAt.poll();
    }
    restartedAt.add(now);
    return restartedAt.size() <= MAX_RESTARTS;
  }
}
