package stonespring.testbed.virtual;

import java.util.ArrayList;
import java.util.List;

/**
 * Counters for requests, attempts and route changes during a replay. Times are in {@link
 * stonespring.model.DeciMillis}. Not thread-safe.
 */
final class ReplayStatistics {
  private static final class WindowCounts {
    private double weightRequested;
    private double weightInTime;
    private long requests;
    private long rejected;
    private long timedOut;
  }

  private final WindowCounts[] windows;
  private long attempts;
  private long crossZoneAttempts;
  private long connections;
  private long routeChanges;

  /**
   * Creates empty statistics.
   *
   * @param duration duration of the load, deci-milliseconds
   */
  ReplayStatistics(long duration) {
    windows = new WindowCounts[(int) (duration / ReplayResult.WINDOW_DECI_MILLIS) + 1];
    for (int index = 0; index < windows.length; index++) {
      windows[index] = new WindowCounts();
    }
  }

  void addRouteChanges(long count) {
    routeChanges += count;
  }

  void recordAttempt(boolean crossesZones, boolean opensConnection) {
    attempts++;
    if (crossesZones) {
      crossZoneAttempts++;
    }
    if (opensConnection) {
      connections++;
    }
  }

  void recordRequestStart(long startedAt, double priorityWeight) {
    WindowCounts window = window(startedAt);
    window.weightRequested += priorityWeight;
    window.requests++;
  }

  /**
   * Counts the end of a request.
   *
   * @param startedAt when the request started, which determines its window
   * @param weightInTime the request's priority weight if it was answered within its latency
   *     objective, else 0
   */
  void recordRequestEnd(long startedAt, double weightInTime, RequestResult result) {
    WindowCounts window = window(startedAt);
    window.weightInTime += weightInTime;
    if (result == RequestResult.REJECTED) {
      window.rejected++;
    } else if (result == RequestResult.TIMED_OUT) {
      window.timedOut++;
    }
  }

  private WindowCounts window(long startedAt) {
    return windows[(int) Math.min(windows.length - 1, startedAt / ReplayResult.WINDOW_DECI_MILLIS)];
  }

  /** Returns the windows in which at least one request started, in order of time. */
  List<ReplayResult.Window> windows() {
    List<ReplayResult.Window> nonEmptyWindows = new ArrayList<>();
    for (WindowCounts window : windows) {
      if (window.requests > 0) {
        nonEmptyWindows.add(
            new ReplayResult.Window(
                window.weightRequested,
                window.weightInTime,
                window.requests,
                window.rejected,
                window.timedOut));
      }
    }
    return nonEmptyWindows;
  }

  long connections() {
    return connections;
  }

  long routeChanges() {
    return routeChanges;
  }

  double crossZoneFraction() {
    return attempts == 0 ? 0 : (double) crossZoneAttempts / attempts;
  }
}
