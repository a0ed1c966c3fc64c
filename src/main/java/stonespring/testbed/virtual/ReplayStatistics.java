package stonespring.testbed.virtual;

import java.util.ArrayList;
import java.util.List;

/**
 * Counts what happens while a load is played. Instants are in {@link stonespring.model.DeciMillis}.
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
   * @param duration of the load, deci-milliseconds
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
   * @param weightInTime its priority weight if it was answered within its objective, else 0
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

  /** The windows in which a request started, in order. */
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
