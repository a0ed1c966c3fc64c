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

/** Collects the updates that a source reports, in order, and the threads that reported them. */
final class EndpointUpdates implements Consumer<Event.EndpointListUpdate> {
  /** An upper bound: every wait ends with its update. */
  static final int TIMEOUT_MILLIS = 10_000;

  private final LinkedBlockingQueue<Event.EndpointListUpdate> updates = new LinkedBlockingQueue<>();
  private final Set<Thread> threads = ConcurrentHashMap.newKeySet();

  @Override
  public void accept(Event.EndpointListUpdate update) {
    threads.add(Thread.currentThread());
    updates.add(update);
  }

  /** Waits for the next update. */
  Event.EndpointListUpdate next() throws InterruptedException {
    Event.EndpointListUpdate update = updates.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    assertNotNull(update);
    return update;
  }

  /** Waits a while for the next update; null if there is none. */
  Event.EndpointListUpdate poll(long millis) throws InterruptedException {
    return updates.poll(millis, TimeUnit.MILLISECONDS);
  }

  /** Waits for the next update and describes it. */
  String nextDescription() throws InterruptedException {
    return describe(next());
  }

  boolean isEmpty() {
    return updates.isEmpty();
  }

  Set<Thread> threads() {
    return threads;
  }

  /** The kind, then {@code ID/STATE/ZONE/WEIGHT/START} of each endpoint. */
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

  /** A list listener for tests that look at updates alone. */
  static void ignoreList(List<EndpointRecord> list) {}
}
