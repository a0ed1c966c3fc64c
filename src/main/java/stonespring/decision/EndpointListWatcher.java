package stonespring.decision;

import stonespring.model.Command;
import stonespring.model.DeciMillis;
import stonespring.model.DeterministicRandom;
import stonespring.model.Event;
import stonespring.model.Settings;

/**
 * Maintains a watch on the endpoint list where the settings require one, and restarts it with
 * exponential backoff.
 */
final class EndpointListWatcher {
  /** Backoff after the first failure; doubled after each further one. */
  private static final long INITIAL_BACKOFF_DECI_MILLIS = DeciMillis.SECOND / 2;

  private static final long MAX_BACKOFF_DECI_MILLIS = 8 * INITIAL_BACKOFF_DECI_MILLIS;

  /** Time after which a watch request without any answer counts as lost. */
  private static final long REQUEST_TIMEOUT_DECI_MILLIS = 9 * DeciMillis.SECOND;

  private final Settings settings;
  private final EngineClock clock;
  private final DeterministicRandom random;
  private final CommandBatch batch;
  private boolean watching;
  private long nextRequestAt = EngineClock.NEVER;
  private long backoff = INITIAL_BACKOFF_DECI_MILLIS;

  EndpointListWatcher(
      Settings settings, EngineClock clock, DeterministicRandom random, CommandBatch batch) {
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.batch = batch;
  }

  /**
   * Records from an update whether the watch works or has ended. A cached list tells nothing about
   * the watch.
   */
  void recordUpdate(Event.ListUpdateKind kind) {
    if (kind == Event.ListUpdateKind.FETCH_FAILED) {
      watching = false;
      long jitter = (long) (backoff * random.nextDouble());
      nextRequestAt = clock.now() + backoff + jitter;
      backoff = Math.min(MAX_BACKOFF_DECI_MILLIS, 2 * backoff);
      return;
    }
    watching |= kind != Event.ListUpdateKind.CACHED;
    if (watching) {
      backoff = INITIAL_BACKOFF_DECI_MILLIS;
    }
  }

  /**
   * Requests the watch if it is required and not established, unless a request is outstanding or a
   * backoff has not elapsed.
   */
  void ensureWatch() {
    if (!watching && settings.endpointList().watchRequired() && clock.now() >= nextRequestAt) {
      batch.addLocal(new Command.WatchEndpoints(true));
      nextRequestAt = clock.now() + REQUEST_TIMEOUT_DECI_MILLIS;
    }
  }
}
