package stonespring.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The route table of one proxy: routes that were sent to the proxy and planned ones, at most one
 * per endpoint. A route with a weight is applied; one with a target weight is to be added or kept.
 */
final class RouteTable {
  private final List<Route> routes = new ArrayList<>();

  /**
   * All routes, applied or planned, in the order in which they were added. Callers must not modify
   * the list. It is not wrapped as unmodifiable for speed: the weights of all routes are read many
   * times per round.
   */
  List<Route> routes() {
    return routes;
  }

  /** The route to an endpoint, applied or only planned. */
  Optional<Route> find(EndpointState endpoint) {
    for (Route route : routes) {
      if (route.endpoint() == endpoint) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Whether the table has an applied route to an endpoint. */
  boolean hasAppliedRouteTo(EndpointState endpoint) {
    for (Route route : routes) {
      if (route.endpoint() == endpoint && route.isApplied()) {
        return true;
      }
    }
    return false;
  }

  /** Sets the target weight of the route to an endpoint, and adds the route if it is missing. */
  Route setTarget(EndpointState endpoint, double target) {
    Route route = find(endpoint).orElseGet(() -> append(endpoint));
    route.setTarget(target);
    return route;
  }

  private Route append(EndpointState endpoint) {
    Route route = new Route(endpoint);
    routes.add(route);
    return route;
  }

  /** Removes routes that are not applied: planned ones that were never sent, and removed ones. */
  void removeUnapplied() {
    routes.removeIf(route -> !route.isApplied());
  }

  int appliedCount() {
    return (int) routes.stream().filter(Route::isApplied).count();
  }

  int targetedCount() {
    return (int) routes.stream().filter(Route::isTargeted).count();
  }

  /** Sum of the target weights. */
  double targetSum() {
    return routes.stream().mapToDouble(Route::target).sum();
  }

  /**
   * Whether the table has no applied route, or has an applied route to an endpoint that is not
   * ready.
   */
  boolean isBroken() {
    boolean empty = true;
    for (Route route : routes) {
      if (route.isApplied()) {
        empty = false;
        if (!route.endpoint().isReady()) {
          return true;
        }
      }
    }
    return empty;
  }

  /** Scales the target weights to a sum of 1, unless all are 0. */
  void normalizeTargets() {
    double sum = 0;
    for (Route route : routes) {
      sum += route.target();
    }
    if (sum > 0) {
      for (Route route : routes) {
        route.setTarget(route.target() / sum);
      }
    }
  }
}
