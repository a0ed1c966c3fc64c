package stonespring.decision;

import stonespring.model.Command;
import stonespring.model.Settings;
import stonespring.model.TimerToken;

/**
 * Starts the engine's timers: a periodic one, one that retries postponed updates, and one that
 * retries a failed request for the endpoint list.
 */
final class EngineTimers {
  private static final TimerToken PERIODIC_TIMER = new TimerToken(1);
  private static final TimerToken RETRY_TIMER = new TimerToken(2);
  private static final TimerToken LIST_RETRY_TIMER = new TimerToken(3);

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

  /** Records that a timer fired. */
  void handleTimerFired(TimerToken token) {
    if (token.equals(PERIODIC_TIMER)) {
      periodicRunning = false;
    }
  }

  /**
   * Starts the periodic timer unless it is running, so that batches occur even without other
   * events.
   */
  void ensurePeriodicTimer() {
    if (!periodicRunning) {
      periodicRunning = true;
      batch.addLocal(new Command.StartTimer(settings.reportInterval() / 2, PERIODIC_TIMER));
    }
  }

  /**
   * Starts the retry timer unless it is running, so that postponed updates are tried again soon.
   */
  void ensureRetryTimer() {
    if (clock.now() >= retryAt) {
      retryAt = clock.now() + ChannelBudget.BATCH_INTERVAL_DECI_MILLIS;
      batch.addLocal(new Command.StartTimer(ChannelBudget.BATCH_INTERVAL_DECI_MILLIS, RETRY_TIMER));
    }
  }

  /**
   * Starts a timer for the next request for the endpoint list. The periodic timer may be too late
   * for it.
   *
   * @param delay DeciMillis
   */
  void startListRetryTimer(long delay) {
    batch.addLocal(new Command.StartTimer(delay, LIST_RETRY_TIMER));
  }
}
