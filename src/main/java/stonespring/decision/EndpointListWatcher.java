package stonespring.decision;

import stonespring.model.Command;
import stonespring.model.DeciMillis;
import stonespring.model.DeterministicRandom;
import stonespring.model.Event;
import stonespring.model.Settings;

/** Keeps a watch on the endpoint list where one is required, and restarts it with backoff. */
final class EndpointListWatcher {
  /** DeciMillis; doubled after each failure. */
  private static final long INITIAL_BACKOFF_DECI_MILLIS = DeciMillis.SECOND / 2;

  private static final long MAX_BACKOFF_DECI_MILLIS = 8 * INITIAL_BACKOFF_DECI_MILLIS;

  /** DeciMillis; a request without any answer by then is lost. */
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

  /** Notes that the watch works, or that it ended; a cached list says neither. */
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

  /** Requests the watch if it is required, does not stand and is not waited for. */
  void ensureWatch() {
    if (!watching && settings.endpointList().watchRequired() && clock.now() >= nextRequestAt) {
      batch.addLocal(new Command.WatchEndpoints(true));
      nextRequestAt = clock.now() + REQUEST_TIMEOUT_DECI_MILLIS;
    }
  }
}
