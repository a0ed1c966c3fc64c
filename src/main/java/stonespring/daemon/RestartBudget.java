package stonespring.daemon;

import java.util.ArrayDeque;
import stonespring.model.DeciMillis;

/**
 * Limits how often the decision engine may be restarted within a sliding window. The total is not
 * limited: a process runs for weeks, and ten failures within an hour are more serious than ten
 * within a year. Time is passed in, in {@link DeciMillis}.
 */
final class RestartBudget {
  /**
   * Maximum number of restarts within the window; more failures are not regarded as a temporary
   * fault.
   */
  private static final int MAX_RESTARTS = 10;

  private static final long WINDOW_DECI_MILLIS = 3_600 * DeciMillis.SECOND;

  private final ArrayDeque<Long> restartTimes = new ArrayDeque<>();

  /** Counts a restart; returns false if it exceeds the limit. */
  boolean tryRestart(long now) {
    while (!restartTimes.isEmpty() && now - restartTimes.peek() > WINDOW_DECI_MILLIS) {
      restartTimes.poll();
    }
    restartTimes.add(now);
    return restartTimes.size() <= MAX_RESTARTS;
  }
}
