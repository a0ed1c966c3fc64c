package stonespring.decision;

import stonespring.model.Settings;

/** When scheduling rounds are due: as proxies' reports arrive, about once a report interval. */
final class ReportCadence {
  /** Rounds until reports show enough to touch what an earlier instance left. */
  private static final int MIN_ROUNDS = 3;

  private final Settings settings;
  private final EngineClock clock;
  private boolean reportedSinceRound;
  private long lastRoundAt = EngineClock.NEVER;
  private long reportDelay;
  private int roundCount;

  ReportCadence(Settings settings, EngineClock clock) {
    this.settings = settings;
    this.clock = clock;
  }

  void recordReport() {
    reportedSinceRound = true;
  }

  boolean isRoundDue() {
    return reportedSinceRound && clock.since(lastRoundAt) >= settings.reportInterval() * 9 / 10;
  }

  void startRound() {
    reportedSinceRound = false;
    long lateness = clock.since(lastRoundAt) - settings.reportInterval();
    reportDelay = roundCount == 0 ? 0 : Math.max(lateness, reportDelay * 9 / 10);
    lastRoundAt = clock.now();
    roundCount++;
  }

  /** Whether any round was started. */
  boolean hasStartedRound() {
    return roundCount > 0;
  }

  /** Whether there were enough rounds for reports to show what an earlier instance left. */
  boolean hasEnoughRounds() {
    return roundCount >= MIN_ROUNDS;
  }

  /**
   * How late reports were of late, DeciMillis. After a gap they stay delayed, so that what they
   * show may be over; the delay fades by a tenth each round.
   */
  long reportDelay() {
    return reportDelay;
  }
}
