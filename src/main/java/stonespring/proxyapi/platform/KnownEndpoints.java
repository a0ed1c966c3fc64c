package stonespring.proxyapi.platform;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;

/**
 * The endpoints that have been in the endpoint list, the most recently updated last. When the limit
 * is exceeded, the least recently updated endpoints are evicted.
 */
final class KnownEndpoints {
  private final int maxEndpoints;
  private final LinkedHashSet<EndpointId> endpoints = new LinkedHashSet<>();

  KnownEndpoints(int maxEndpoints) {
    this.maxEndpoints = maxEndpoints;
  }

  /** Adds the endpoints of an update, and returns those that are evicted to make room. */
  List<EndpointId> add(List<EndpointRecord> records) {
    for (EndpointRecord endpoint : records) {
      endpoints.remove(endpoint.endpoint());
      endpoints.add(endpoint.endpoint());
    }
    List<EndpointId> evicted = new ArrayList<>();
    while (endpoints.size() > maxEndpoints) {
      EndpointId oldest = endpoints.iterator().next();
      endpoints.remove(oldest);
      evicted.add(oldest);
    }
    return evicted;
  }

  boolean contains(EndpointId endpoint) {
    return endpoints.contains(endpoint);
  }
}
