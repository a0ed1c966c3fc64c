package stonespring.proxy.routing;

import java.util.ArrayList;
import java.util.List;
import stonespring.model.DeterministicRandom;

/**
 * Picks an endpoint from a table's routes. Ejected endpoints are skipped unless no other is left,
 * because an attempt that may fail is better than none.
 */
final class EndpointPicker {
  /** One route of the table in force for a request class. */
  static final class Route {
    private final int endpoint;
    private final double weight;
    private double credit;

    Route(int endpoint, double weight) {
      this.endpoint = endpoint;
      this.weight = weight;
    }

    int endpoint() {
      return endpoint;
    }

    double weight() {
      return weight;
    }
  }

  private final RouterSettings.Picking picking;
  private final EndpointStates endpoints;
  private final DeterministicRandom random;

  EndpointPicker(
      RouterSettings.Picking picking, EndpointStates endpoints, DeterministicRandom random) {
    this.picking = picking;
    this.endpoints = endpoints;
    this.random = random;
  }

  /**
   * Picks an endpoint.
   *
   * @param avoidedEndpoint index of an endpoint to leave out, or {@link EndpointStates#NONE}
   * @return the endpoint's index, or {@link EndpointStates#NONE} if no route is left
   */
  int pick(List<Route> routes, int avoidedEndpoint, long now) {
    List<Route> candidates = candidates(routes, avoidedEndpoint, now);
    if (candidates.isEmpty()) {
      return EndpointStates.NONE;
    }
    Route route =
        switch (picking) {
          case WEIGHTED -> drawByWeight(candidates);
          case ROUND_ROBIN -> nextInRoundRobin(candidates);
          case TWO_CHOICES -> lessLoaded(drawByWeight(candidates), drawByWeight(candidates));
        };
    return route.endpoint;
  }

  private List<Route> candidates(List<Route> routes, int avoidedEndpoint, long now) {
    List<Route> notEjected = new ArrayList<>();
    List<Route> all = new ArrayList<>();
    for (Route route : routes) {
      if (route.endpoint == avoidedEndpoint) {
        continue;
      }
      all.add(route);
      if (!endpoints.isEjected(route.endpoint, now)) {
        notEjected.add(route);
      }
    }
    return notEjected.isEmpty() ? all : notEjected;
  }

  private Route lessLoaded(Route first, Route second) {
    boolean secondHasFewer =
        endpoints.inFlight(second.endpoint) < endpoints.inFlight(first.endpoint);
    return secondHasFewer ? second : first;
  }

  private Route drawByWeight(List<Route> candidates) {
    double totalWeight = 0;
    for (Route route : candidates) {
      totalWeight += route.weight;
    }
    double remaining = random.nextDouble() * totalWeight;
    for (Route route : candidates) {
      remaining -= route.weight;
      if (remaining < 0) {
        return route;
      }
    }
    return candidates.get(candidates.size() - 1);
  }

  /**
   * Smooth weighted round robin: every route gains its weight as credit, and the route with the
   * highest credit is picked and loses the sum of all weights.
   */
  private static Route nextInRoundRobin(List<Route> candidates) {
    double totalWeight = 0;
    Route highestCredit = null;
    for (Route route : candidates) {
      route.credit += route.weight;
      totalWeight += route.weight;
      highestCredit =
          highestCredit == null || route.credit > highestCredit.credit ? route : highestCredit;
    }
    highestCredit.credit -= totalWeight;
    return highestCredit;
  }
}
