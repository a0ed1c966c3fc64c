package stonespring.testbed.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;

/**
 * The endpoint list that the discovery servers of a run share, with its versions. Thread-safe.
 * Waiters on the monitor are notified of changes.
 */
final class EndpointRoster {
  /** State of an endpoint, under its name in the protocol. */
  enum Health {
    READY("Ready"),
    DRAINING("Terminating"),
    REMOVED("Gone");

    private final String wireName;

    Health(String wireName) {
      this.wireName = wireName;
    }
  }

  /** One state of an endpoint, since the given version of the list. */
  record Entry(String host, String zone, Health health, long version) {
    private String toJson() {
      return String.format(
          "{\"host\":\"%s\",\"dial\":\"127.0.0.1:7070\",\"site\":\"%s\",\"class\":\"m2\",\"block\":1,"
              + "\"health\":\"%s\",\"share\":1.0,\"born_ms\":0}",
          host, zone, health.wireName);
    }
  }

  private final List<String> zones;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private long version = 1;
  private int createdEndpoints;

  EndpointRoster(List<String> zones, int endpoints) {
    this.zones = zones;
    for (int i = 0; i < endpoints; i++) {
      addEndpoint();
    }
  }

  synchronized void addEndpoint() {
    String host = "e-" + createdEndpoints;
    String zone = zones.get(createdEndpoints % zones.size());
    createdEndpoints++;
    put(host, zone, Health.READY);
  }

  /** Lets a random ready endpoint drain, unless too few would stay. */
  synchronized void drainOne(Random random, int minReady) {
    changeOne(random, Health.READY, Health.DRAINING, minReady);
  }

  /** Removes a random draining endpoint. */
  synchronized void removeDraining(Random random) {
    changeOne(random, Health.DRAINING, Health.REMOVED, 0);
  }

  /** Removes a random ready endpoint, unless too few would stay. */
  synchronized void removeReady(Random random, int minReady) {
    changeOne(random, Health.READY, Health.REMOVED, minReady);
  }

  private void changeOne(Random random, Health from, Health to, int minLeft) {
    List<Entry> candidates =
        entries.values().stream().filter(entry -> entry.health() == from).toList();
    if (candidates.size() > minLeft) {
      Entry chosen = candidates.get(random.nextInt(candidates.size()));
      put(chosen.host(), chosen.zone(), to);
    }
  }

  private void put(String host, String zone, Health health) {
    version++;
    entries.put(host, new Entry(host, zone, health, version));
    notifyAll();
  }

  synchronized long version() {
    return version;
  }

  /** Waits until the list is newer than the version or the time has passed. */
  synchronized void awaitNewer(long than, long millis) throws InterruptedException {
    if (version <= than) {
      wait(millis);
    }
  }

  /** Returns the entries that changed after a version, removed ones included. */
  synchronized List<Entry> changesSince(long since) {
    return entries.values().stream().filter(entry -> entry.version() > since).toList();
  }

  /** Returns the listed endpoints: all but removed ones. */
  synchronized List<Entry> listed() {
    return entries.values().stream().filter(entry -> entry.health() != Health.REMOVED).toList();
  }

  /** Returns the removed endpoints. */
  synchronized List<Entry> removed() {
    return entries.values().stream().filter(entry -> entry.health() == Health.REMOVED).toList();
  }

  /** Returns an object of the protocol on one line, without a line end. */
  static String toJson(long version, boolean whole, List<Entry> shown) {
    return "{\"seq\":"
        + version
        + ",\"whole\":"
        + whole
        + ",\"hosts\":["
        + new ArrayList<>(shown).stream().map(Entry::toJson).collect(Collectors.joining(","))
        + "]}";
  }
}
