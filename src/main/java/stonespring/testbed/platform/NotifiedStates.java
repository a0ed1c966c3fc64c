package stonespring.testbed.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What discovery has written to the current process of the instance: the state of each endpoint and
 * the time since which the instance is notified of it. Thread-safe.
 */
final class NotifiedStates {
  /** The state that the instance was notified of, and when, by {@link System#nanoTime}. */
  record Notified(EndpointRoster.Health health, long sinceNanos) {}

  private final Map<String, Notified> byHost = new HashMap<>();

  /** Forgets everything: a new process has started. */
  synchronized void clear() {
    byHost.clear();
  }

  /** Records entries that were written to the instance. */
  synchronized void record(List<EndpointRoster.Entry> entries) {
    long now = System.nanoTime();
    for (EndpointRoster.Entry entry : entries) {
      Notified before = byHost.get(entry.host());
      if (before == null || before.health() != entry.health()) {
        byHost.put(entry.host(), new Notified(entry.health(), now));
      }
    }
  }

  synchronized Map<String, Notified> byHost() {
    return Map.copyOf(byHost);
  }
}
