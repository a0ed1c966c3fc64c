package stonespring.decision;

import stonespring.model.Settings;

/** When scheduling rounds are due: as proxies' reports arrive, about once a report interval. */
final class ReportCadence {
  /** Rounds until reports show enough to touch what an earlier instance left. */
  private static final int MIN_ROUNDS = 3;

  private final Settings settings;
  private final EngineClock clock;
  private boolean reported;
  private long lastRoundAt = EngineClock.NEVER;
  private long delay;
  private int rounds;

  ReportCadence(Settings settings, EngineClock clock) {
    this.settings = settings;
    this.clock = clock;
  }

  void recordReport() {
    reported = true;
  }

  boolean isRoundDue() {
    return reported && clock.since(lastRoundAt) >= settings.reportInterval() * 9 / 10;
  }

  void startRound() {
    reported = false;
    long lateness = clock.since(lastRoundAt) - settings.reportInterval();
    delay = rounds == 0 ? 0 : Math.max(lateness, delay * 9 / 10);
    lastRoundAt = clock.now();
    rounds++;
  }

  /** Whether any round was started. */
  boolean hasStartedRound() {
    return rounds > 0;
  }

  /** Whether there were enough rounds for reports to show what an earlier instance left. */
  boolean hasEnoughRounds() {
    return rounds >= MIN_ROUNDS;
  }

  /**
   * How late reports were of late, DeciMillis. After a gap they stay delayed, so that what they
   * show may be over; the delay fades by a tenth each round.
   */
  long reportDelay() {
    return delay;
  }
}
