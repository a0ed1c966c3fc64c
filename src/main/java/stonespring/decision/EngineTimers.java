package stonespring.decision;

import stonespring.model.Command;
import stonespring.model.Settings;
import stonespring.model.TimerToken;

/** The engine's two timers: one that always runs, and one for updates that were postponed. */
final class EngineTimers {
  private static final TimerToken PERIODIC = new TimerToken(1);
  private static final TimerToken RETRY = new TimerToken(2);

  private final Settings settings;
  private final EngineClock clock;
  private final CommandBatch batch;
  private boolean periodicRunning;
  private long retryAt = EngineClock.NEVER;

  EngineTimers(Settings settings, EngineClock clock, CommandBatch batch) {
    this.settings = settings;
    this.clock = clock;
    this.batch = batch;
  }

  void fired(TimerToken token) {
    if (token.equals(PERIODIC)) {
      periodicRunning = false;
    }
  }

  /** Keeps the periodic timer running, so that batches come without other events too. */
  void ensurePeriodic() {
    if (!periodicRunning) {
      periodicRunning = true;
      batch.addLocal(new Command.StartTimer(settings.reportInterval() / 2, PERIODIC));
    }
  }

  /** Has postponed updates looked at again soon. */
  void ensureRetry() {
    if (clock.now() >= retryAt) {
      retryAt = clock.now() + ChannelBudget.BATCH_INTERVAL_DECI_MILLIS;
      batch.addLocal(new Command.StartTimer(ChannelBudget.BATCH_INTERVAL_DECI_MILLIS, RETRY));
    }
  }
}
