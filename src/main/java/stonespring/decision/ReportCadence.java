package stonespring.decision;

import stonespring.model.Settings;

/**
 * Tells when scheduling rounds are due, which is about once per report interval as the proxies'
 * reports arrive, and how late reports are.
 */
final class ReportCadence {
  /**
   * Number of rounds after which reports suffice to replace tables that an earlier instance process
   * assigned.
   */
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

  /** Records that a report arrived, so that a round may become due. */
  void recordReport() {
    reportedSinceRound = true;
  }

  /** Whether a report arrived since the last round and nearly a report interval has elapsed. */
  boolean isRoundDue() {
    return reportedSinceRound && clock.since(lastRoundAt) >= settings.reportInterval() * 9 / 10;
  }

  /** Records that a round starts, and updates the report delay. */
  void startRound() {
    reportedSinceRound = false;
    long lateness = clock.since(lastRoundAt) - settings.reportInterval();
    reportDelay = roundCount == 0 ? 0 : Math.max(lateness, reportDelay * 9 / 10);
    lastRoundAt = clock.now();
    roundCount++;
  }

  /** Whether any round has been started. */
  boolean hasStartedRound() {
    return roundCount > 0;
  }

  /**
   * Whether there were enough rounds to replace tables that an earlier instance process assigned.
   */
  boolean hasEnoughRounds() {
    return roundCount >= MIN_ROUNDS;
  }

  /**
   * The recent delay of reports beyond a report interval, in DeciMillis; 0 if they are on time.
   * Reports stay delayed after a gap, so that the overload which they show may already have ended.
   * The delay decays by a tenth per round.
   */
  long reportDelay() {
    return reportDelay;
  }
}
