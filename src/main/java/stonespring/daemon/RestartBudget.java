package stonespring.daemon;

import java.util.ArrayDeque;
import stonespring.model.DeciMillis;

/**
 * How often the decisions may fail before the process ends. Counted within a span and not for ever:
 * a process runs for weeks, and ten moments of a bad hour are another matter than ten of a year.
 */
final class RestartBudget {
  private static final int MOST = 10; // restarts within the span; more is no passing moment
  private static final long SPAN =
      3_600 * DeciMillis.SECOND; // 0.1 ms; whoever looks after it sees a log line of each

  private final ArrayDeque<Long> spentAt = new ArrayDeque<>();

  /** Spends a restart; whether there was one left. Time is passed in, tenths of a millisecond. */
  boolean spend(long now) {
    while (!spentAt.isEmpty() && now - spentAt.peek() > SPAN) {
      spentAt.poll();
    }
    spentAt.add(now);
    return spentAt.size() <= MOST;
  }
}
