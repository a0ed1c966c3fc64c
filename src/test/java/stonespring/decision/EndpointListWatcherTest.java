package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import stonespring.model.Command;
import stonespring.model.DeterministicRandom;
import stonespring.model.Event;
import stonespring.model.Settings;

/** Tests when the endpoint list watch is requested, and the backoff after failures. */
final class EndpointListWatcherTest {
  private static final List<Command> WATCH = List.of(new Command.WatchEndpoints(true));

  /** Time after which a source of the list gives up on a request, in DeciMillis. */
  private static final long RESPONSE_TIMEOUT = 25_000;

  private final EngineClock clock = new EngineClock(Fleet.SECOND);
  private final Settings settings = new FleetSettings().watchRequired().build();
  private final CommandBatch batch = new CommandBatch(settings.channel());
  private EndpointListWatcher watcher = createWatcher(settings, 1);

  private EndpointListWatcher createWatcher(Settings settings, long seed) {
    EngineTimers timers = new EngineTimers(settings, clock, batch);
    return new EndpointListWatcher(settings, clock, new DeterministicRandom(seed), batch, timers);
  }

  /** Removes and returns the watch requests that are due at the present instant. */
  private List<Command> takeRequests() {
    watcher.ensureWatch();
    return batch.takeCommands().stream().filter(Command.WatchEndpoints.class::isInstance).toList();
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
    createWatcher(new FleetSettings().build(), 1).ensureWatch();
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

  /** Creates a watcher and fails its requests; returns the longest time between two of them. */
  private long longestRequestInterval(Settings settings, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    watcher = createWatcher(settings, seed);
    takeRequests();
    long longest = 0;
    for (int request = 0; request < 8; request++) {
      long responseTime = random.nextBoolean() ? 0 : random.nextLong(RESPONSE_TIMEOUT);
      clock.advanceTo(clock.now() + responseTime);
      watcher.recordUpdate(Event.ListUpdateKind.FETCH_FAILED);
      longest = Math.max(longest, responseTime + timeToNextRequest());
    }
    return longest;
  }

  /**
   * Guards against a backoff in which the instance comes to count as notified of a change that it
   * has not received: the change may come just after a request has failed, and the answer to the
   * next request takes up to the response timeout.
   */
  @Test
  void requestsListAgainBeforeInstanceCountsAsNotified() {
    long maxDelay = 6 * Fleet.SECOND;
    Settings onPlatform = settings.withPlatformConstraints();
    for (long seed = 1; seed <= 1000; seed++) {
      long delay = longestRequestInterval(onPlatform, seed) + RESPONSE_TIMEOUT;
      assertTrue(delay <= maxDelay, "expected " + maxDelay + " at most, found " + delay);
    }
  }

  @Test
  void placesTwoRequestsIntoNotificationDelayOfSettings() {
    for (long maxDelay : new long[] {2 * Fleet.SECOND, 4 * Fleet.SECOND, 12 * Fleet.SECOND}) {
      Settings limited = new FleetSettings().watchRequired().maxNotificationDelay(maxDelay).build();
      watcher = createWatcher(limited, 3);
      takeRequests();
      for (int request = 0; request < 8; request++) {
        watcher.recordUpdate(Event.ListUpdateKind.FETCH_FAILED);
        long interval = timeToNextRequest();
        assertTrue(2 * interval <= maxDelay + 100, interval + " within " + maxDelay);
      }
    }
  }

  /** Instances that lose the same server must not ask it again at the same moment. */
  @Test
  void spreadsRequestsOfDifferentInstancesWithinTheLimit() {
    Settings onPlatform = settings.withPlatformConstraints();
    Set<Long> waits = new HashSet<>();
    SplittableRandom seeds = new SplittableRandom(1);
    for (int instance = 0; instance < 100; instance++) {
      watcher = createWatcher(onPlatform, seeds.nextLong());
      takeRequests();
      for (int request = 0; request < 5; request++) {
        watcher.recordUpdate(Event.ListUpdateKind.FETCH_FAILED);
        long wait = timeToNextRequest();
        if (request == 4) {
          waits.add(wait);
        }
      }
    }
    assertTrue(waits.size() > 50, "different waits of 100 instances: " + waits.size());
  }

  /** A request that is refused at once must not be repeated at once, however short the limit is. */
  @Test
  void waitsBetweenRequestsWhenSettingsLimitDelayToNearlyNothing() {
    watcher = createWatcher(new FleetSettings().watchRequired().maxNotificationDelay(1).build(), 1);
    takeRequests();
    for (int request = 0; request < 8; request++) {
      watcher.recordUpdate(Event.ListUpdateKind.FETCH_FAILED);
      long wait = timeToNextRequest();
      assertTrue(wait >= 2_500, "waited " + wait);
    }
  }
}
