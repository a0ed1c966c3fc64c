package stonespring.state;

import java.util.Arrays;
import java.util.Comparator;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import stonespring.model.EndpointId;
import stonespring.model.RequestClassId;
import stonespring.model.RouteTableId;

/** One route table with its admission limits and the proxies that use it. */
final class StoredTable {
  private final RouteTableId id;
  private final TreeMap<EndpointId, Double> weights =
      new TreeMap<>(Comparator.comparing(EndpointId::name));
  private final AdmissionLimit[] limits;
  private final TreeSet<Integer> proxyNumbers = new TreeSet<>();

  StoredTable(RouteTableId id, int requestClassCount) {
    this.id = id;
    this.limits = new AdmissionLimit[requestClassCount];
  }

  RouteTableId id() {
    return id;
  }

  /** The weights of its routes, by the endpoints' names. */
  TreeMap<EndpointId, Double> weights() {
    return weights;
  }

  /** The numbers of the proxies that use it, ascending. */
  TreeSet<Integer> proxyNumbers() {
    return proxyNumbers;
  }

  boolean hasRouteTo(EndpointId endpoint) {
    return weights.containsKey(endpoint);
  }

  Optional<AdmissionLimit> limit(int requestClass) {
    return Optional.ofNullable(limits[requestClass]);
  }

  void setLimit(int requestClass, AdmissionLimit limit) {
    limits[requestClass] = limit;
  }

  /** Removes all routes and limits; who uses it stays. */
  void clear() {
    weights.clear();
    Arrays.fill(limits, null);
  }

  /** The change that gives a proxy the limit that a request class has now. */
  ProxyChange limitChange(int requestClass) {
    return new ProxyChange.AdmissionLimitChange(
        id, new RequestClassId(requestClass), limit(requestClass));
  }
}
