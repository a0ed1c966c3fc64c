package stonespring.state;

import java.util.Arrays;
import java.util.Comparator;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import stonespring.model.EndpointId;
import stonespring.model.RequestClassId;
import stonespring.model.RouteTableId;

/** A route table, its admission limits and the proxies that use it. */
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

  /** Returns the weights of the routes, ordered by the names of their endpoints. */
  TreeMap<EndpointId, Double> weights() {
    return weights;
  }

  /** Returns the numbers of the proxies that use this table, ascending. */
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

  /** Removes all routes and limits; proxies that use the table still use it. */
  void clear() {
    weights.clear();
    Arrays.fill(limits, null);
  }

  /** Returns the change that sets the current limit of a request class at a proxy. */
  ProxyChange limitChange(int requestClass) {
    return new ProxyChange.AdmissionLimitChange(
        id, new RequestClassId(requestClass), limit(requestClass));
  }
}
