package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import stonespring.model.Command;
import stonespring.model.DeterministicRandom;
import stonespring.model.Event;
import stonespring.model.Settings;

/** Tests when the endpoint list watch is requested, and the backoff after failures. */
final class EndpointListWatcherTest {
  private static final List<Command> WATCH = List.of(new Command.WatchEndpoints(true));

  private final EngineClock clock = new EngineClock(Fleet.SECOND);
  private final Settings settings = new FleetSettings().watchRequired().build();
  private final CommandBatch batch = new CommandBatch(settings.channel());
  private final EndpointListWatcher watcher = createWatcher(settings);

  private EndpointListWatcher createWatcher(Settings settings) {
    return new EndpointListWatcher(settings, clock, new DeterministicRandom(1), batch);
  }

  /** Removes and returns the watch requests that are due at the present instant. */
  private List<Command> takeRequests() {
    watcher.ensureWatch();
    return batch.takeCommands();
  }

  /** Returns the time until the next watch request in DeciMillis, a multiple of 10 ms. */
  private long timeToNextRequest() {
    long start = clock.now();
    while (takeRequests().isEmpty()) {
      clock.advanceTo(clock.now() + 100);
    }
    return clock.now() - start;
  }

  @Test
  void requestsTheWatchOnceAndAgainAfterATimeout() {
    assertEquals(WATCH, takeRequests());
    assertEquals(List.of(), takeRequests());
    assertEquals(9 * Fleet.SECOND, timeToNextRequest());
  }

  @Test
  void requestsNothingWhereNoWatchIsRequired() {
    createWatcher(new FleetSettings().build()).ensureWatch();
    assertEquals(List.of(), batch.takeCommands());
  }

  @Test
  void cachedListDoesNotCountAsEstablishedWatch() {
    watcher.recordUpdate(Event.ListUpdateKind.CACHED);
    assertEquals(WATCH, takeRequests());
    watcher.recordUpdate(Event.ListUpdateKind.SNAPSHOT);
    clock.advanceTo(clock.now() + 100 * Fleet.SECOND);
    assertEquals(List.of(), takeRequests());
  }

  @Test
  void doublesBackoffUpToLimitAndResetsItOnceWatchWorks() {
    for (long backoff : new long[] {5_000, 10_000, 20_000, 40_000, 40_000}) {
      watcher.recordUpdate(Event.ListUpdateKind.FETCH_FAILED);
      long waited = timeToNextRequest();
      assertTrue(
          waited >= backoff && waited <= 2 * backoff + 100,
          "expected " + backoff + " to " + (2 * backoff + 100) + ", waited " + waited);
    }
    watcher.recordUpdate(Event.ListUpdateKind.DELTA);
    watcher.recordUpdate(Event.ListUpdateKind.FETCH_FAILED);
    assertTrue(timeToNextRequest() <= 10_100, "the backoff is reset to its initial value");
  }
}
