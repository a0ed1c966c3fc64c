package stonespring.proxyapi.platform;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import stonespring.line.LineConnection;
import stonespring.model.ZoneId;

/** The open connections of the collectors by zone, the oldest first, limited in number. */
final class CollectorConnections {
  private final int maxPerZone;
  private final Map<ZoneId, LinkedHashSet<LineConnection>> byZone = new HashMap<>();

  CollectorConnections(int maxPerZone) {
    this.maxPerZone = maxPerZone;
  }

  /** Adds a connection, and returns the zone's oldest one if the limit is exceeded. */
  Optional<LineConnection> add(ZoneId zone, LineConnection connection) {
    LinkedHashSet<LineConnection> ofZone =
        byZone.computeIfAbsent(zone, key -> new LinkedHashSet<>());
    ofZone.add(connection);
    return ofZone.size() > maxPerZone ? Optional.of(ofZone.iterator().next()) : Optional.empty();
  }

  void remove(ZoneId zone, LineConnection connection) {
    byZone.get(zone).remove(connection);
  }
}
