package stonespring.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The routes that a proxy holds and those that the current round wants, at most one each. */
final class RouteTable {
  private final List<Route> routes = new ArrayList<>();

  /**
   * All routes, applied or wanted, in the order in which they were added. Callers must not change
   * the list; it is not wrapped, as the weights of all routes are read many times a round.
   */
  List<Route> routes() {
    return routes;
  }

  /** The route to an endpoint, applied or wanted. */
  Optional<Route> find(EndpointState endpoint) {
    for (Route route : routes) {
      if (route.endpoint() == endpoint) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Whether the proxy holds a route to an endpoint. */
  boolean holds(EndpointState endpoint) {
    for (Route route : routes) {
      if (route.endpoint() == endpoint && route.isApplied()) {
        return true;
      }
    }
    return false;
  }

  /** Sets the wanted weight of an endpoint, with a new route if there is none. */
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

  /** Drops routes that were wanted but never sent, and those that were removed. */
  void removeUnapplied() {
    routes.removeIf(route -> !route.isApplied());
  }

  int appliedCount() {
    return (int) routes.stream().filter(Route::isApplied).count();
  }

  int targetedCount() {
    return (int) routes.stream().filter(Route::isTargeted).count();
  }

  /** Sum of the wanted weights. */
  double targetSum() {
    return routes.stream().mapToDouble(Route::target).sum();
  }

  /** Whether the table holds no route, or one to an endpoint that is not ready. */
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

  /** Scales the wanted weights to a sum of 1, if any is wanted. */
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
