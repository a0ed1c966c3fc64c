package stonespring.decision;

import java.util.Collection;
import java.util.Collections;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;
import stonespring.model.ProxyId;

/** Holds all proxies that have connected to this instance since it started, by number. */
final class ProxyRegistry {
  private final int requestClassCount;
  private final SortedMap<Integer, ProxyState> proxies = new TreeMap<>();
  private final Collection<ProxyState> proxiesView =
      Collections.unmodifiableCollection(proxies.values());

  ProxyRegistry(int requestClassCount) {
    this.requestClassCount = requestClassCount;
  }

  ProxyState findOrAdd(ProxyId id) {
    return proxies.computeIfAbsent(id.number(), number -> new ProxyState(id, requestClassCount));
  }

  Optional<ProxyState> find(ProxyId id) {
    return Optional.ofNullable(proxies.get(id.number()));
  }

  /** All proxies, connected or not, in the order of their numbers, as an unmodifiable view. */
  Collection<ProxyState> all() {
    return proxiesView;
  }

  /** The connected proxies that may hold tables which this instance does not know. */
  Stream<ProxyState> withUnknownTable() {
    return proxies.values().stream().filter(ProxyState::mayHoldUnknownTables);
  }

  /** Whether any proxy's table has a route to an endpoint, applied or only planned. */
  boolean isInTable(EndpointState endpoint) {
    for (ProxyState proxy : proxies.values()) {
      if (proxy.table().find(endpoint).isPresent()) {
        return true;
      }
    }
    return false;
  }
}
