package stonespring.discovery;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;

/** Records the updates that a source reports, in order, and the threads that it calls from. */
final class EndpointUpdates implements Consumer<Event.EndpointListUpdate> {
  /** Upper bound of a wait for an update that is expected to arrive. */
  static final int TIMEOUT_MILLIS = 10_000;

  private final LinkedBlockingQueue<Event.EndpointListUpdate> updates = new LinkedBlockingQueue<>();
  private final Set<Thread> threads = ConcurrentHashMap.newKeySet();

  @Override
  public void accept(Event.EndpointListUpdate update) {
    threads.add(Thread.currentThread());
    updates.add(update);
  }

  /** Returns the next update; fails if none arrives within {@link #TIMEOUT_MILLIS}. */
  Event.EndpointListUpdate next() throws InterruptedException {
    Event.EndpointListUpdate update = updates.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    assertNotNull(update);
    return update;
  }

  /** Waits up to the given time for the next update; returns null if there is none. */
  Event.EndpointListUpdate poll(long millis) throws InterruptedException {
    return updates.poll(millis, TimeUnit.MILLISECONDS);
  }

  /** Waits for the next update as {@link #next} does and returns its description. */
  String nextDescription() throws InterruptedException {
    return describe(next());
  }

  boolean isEmpty() {
    return updates.isEmpty();
  }

  Set<Thread> threads() {
    return threads;
  }

  /** Returns the kind, followed by {@code ID/STATE/ZONE/WEIGHT/START} for each endpoint. */
  static String describe(Event.EndpointListUpdate update) {
    return update.kind().name()
        + update.endpoints().stream()
            .map(endpoint -> " " + describe(endpoint))
            .collect(Collectors.joining());
  }

  private static String describe(EndpointRecord endpoint) {
    return endpoint.endpoint().name()
        + "/"
        + endpoint.state()
        + "/"
        + endpoint.zone().index()
        + "/"
        + endpoint.weight()
        + "/"
        + endpoint.startedAt();
  }

  /** A list listener that does nothing, for tests that check only updates. */
  static void ignoreList(List<EndpointRecord> list) {}
}
