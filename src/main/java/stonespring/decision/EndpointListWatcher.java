package stonespring.decision;

import stonespring.model.Command;
import stonespring.model.DeciMillis;
import stonespring.model.DeterministicRandom;
import stonespring.model.Event;
import stonespring.model.Settings;
import stonespring.model.Settings.EndpointListRules;

/**
 * Maintains a watch on the endpoint list where the settings require one, and restarts it with
 * exponential backoff. Where the settings limit the delay of notifications, requests follow each
 * other often enough that a change of the list is received before the instance counts as notified.
 */
final class EndpointListWatcher {
  /** Backoff after the first failure; doubled after each further one. */
  private static final long INITIAL_BACKOFF_DECI_MILLIS = DeciMillis.SECOND / 2;

  private static final long MAX_BACKOFF_DECI_MILLIS = 8 * INITIAL_BACKOFF_DECI_MILLIS;

  /** Time after which a watch request without any answer counts as lost. */
  private static final long REQUEST_TIMEOUT_DECI_MILLIS = 9 * DeciMillis.SECOND;

  /**
   * Number of request intervals within the maximum notification delay: a change just after a failed
   * request waits for one interval, and the answer to the next request may take another one.
   */
  private static final int REQUEST_INTERVALS_PER_NOTIFICATION = 2;

  private final Settings settings;
  private final EngineClock clock;
  private final DeterministicRandom random;
  private final CommandBatch batch;
  private final EngineTimers timers;
  private final long maxRequestInterval;
  private final long maxBackoff;
  private boolean watching;

  /** Start of the last request; before the first one, the start of this instance. */
  private long lastRequestAt;

  private long nextRequestAt = EngineClock.NEVER;
  private long backoff;

  EndpointListWatcher(
      Settings settings,
      EngineClock clock,
      DeterministicRandom random,
      CommandBatch batch,
      EngineTimers timers) {
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.batch = batch;
    this.timers = timers;
    this.lastRequestAt = clock.now();
    this.maxRequestInterval = maxRequestInterval(settings.endpointList());
    // The wait is up to twice the backoff and should stay random below the maximum interval.
    this.maxBackoff = Math.min(MAX_BACKOFF_DECI_MILLIS, maxRequestInterval / 2);
    resetBackoff();
  }

  /** Returns the maximum time between the starts of two requests if the first one fails. */
  private static long maxRequestInterval(EndpointListRules rules) {
    if (rules.maxNotificationDelay() == EndpointListRules.UNLIMITED_NOTIFICATION_DELAY) {
      return Long.MAX_VALUE / 2;
    }
    long interval = rules.maxNotificationDelay() / REQUEST_INTERVALS_PER_NOTIFICATION;
    return Math.max(INITIAL_BACKOFF_DECI_MILLIS, interval);
  }

  private void resetBackoff() {
    backoff = Math.min(INITIAL_BACKOFF_DECI_MILLIS, maxBackoff);
  }

  /**
   * Records from an update whether the watch works or has ended. A cached list tells nothing about
   * the watch.
   */
  void recordUpdate(Event.ListUpdateKind kind) {
    if (kind == Event.ListUpdateKind.FETCH_FAILED) {
      scheduleRetry();
      watching = false;
      return;
    }
    watching |= kind != Event.ListUpdateKind.CACHED;
    if (watching) {
      resetBackoff();
    }
  }

  private void scheduleRetry() {
    long now = clock.now();
    long jitter = (long) (backoff * random.nextDouble());
    // While the watch worked, it delivered changes without further requests.
    long lastContactAt = watching ? now : lastRequestAt;
    long latestRequestAt = Math.max(now, lastContactAt + maxRequestInterval);
    nextRequestAt = Math.min(now + backoff + jitter, latestRequestAt);
    timers.startListRetryTimer(nextRequestAt - now);
    backoff = Math.min(maxBackoff, 2 * backoff);
  }

  /**
   * Requests the watch if it is required and not established, unless a request is outstanding or a
   * backoff has not elapsed.
   */
  void ensureWatch() {
    if (!watching && settings.endpointList().watchRequired() && clock.now() >= nextRequestAt) {
      batch.addLocal(new Command.WatchEndpoints(true));
      lastRequestAt = clock.now();
      nextRequestAt = lastRequestAt + REQUEST_TIMEOUT_DECI_MILLIS;
    }
  }
}
