package stonespring.decision;

import java.util.List;
import stonespring.model.Settings;

/**
 * Sets the targets of routes so that requests go where an additional request causes the smallest
 * loss. Each route has a price: the marginal loss at the load of its endpoint, the failures and
 * late answers there, and the penalty for crossing zones. The targets of all tables are adjusted
 * together, in small steps towards equal prices.
 */
final class WeightOptimizer {
  /** Number of steps for each table; further steps change targets by less than one percent. */
  private static final int ITERATIONS = 40;

  /**
   * Exponent of the load ratio in the share of lost requests, which is half the load ratio to this
   * power: half of the requests at full load, few at half load.
   */
  private static final double LOSS_EXPONENT = 6;

  /** Ratio of load to capacity above which the loss no longer grows; keeps prices bounded. */
  private static final double MAX_LOAD_RATIO = 1.2;

  /**
   * Price of a failed attempt, in requests: the request itself, and the time that the attempt took.
   */
  private static final double FAILURE_PRICE = 1.5;

  /**
   * Minimum slope of the loss, unless there is spare capacity. It limits the steps, because reports
   * are old and other instances shift load between the same endpoints.
   */
  private static final double DEFAULT_MIN_SLOPE = 30;

  /**
   * Exponent of the mean load ratio, relative to the typical one, with which the minimum slope
   * falls.
   */
  private static final double SPARE_CAPACITY_EXPONENT = 4;

  /**
   * Number of capacity samples from which on the estimate is trusted; the first samples show less
   * load than there is.
   */
  private static final int MIN_CAPACITY_SAMPLES = 20;

  private final Settings settings;
  private final EndpointRegistry endpoints;
  private final CapacityEstimator capacity;
  private double[] lateShares = new double[0]; // by endpoint index
  private double[] prices = new double[0]; // by position of the route in the table being adjusted
  private double[] slopes = new double[0]; // by position of the route, as prices

  WeightOptimizer(Settings settings, EndpointRegistry endpoints, CapacityEstimator capacity) {
    this.settings = settings;
    this.endpoints = endpoints;
    this.capacity = capacity;
  }

  /**
   * Sets the targets of the adjustable proxies' routes.
   *
   * @param plannedProxies all proxies whose tables send requests to endpoints
   * @param adjustable the proxies among them whose targets may change
   */
  void optimize(List<ProxyState> plannedProxies, List<ProxyState> adjustable) {
    double[] load = plannedLoad(plannedProxies);
    double minSlope = minSlope();
    lateShares = new double[endpoints.size()];
    for (EndpointState endpoint : endpoints.all()) {
      lateShares[endpoint.index()] = endpoint.statistics().lateShare();
    }
    for (int iteration = 0; iteration < ITERATIONS; iteration++) {
      for (ProxyState proxy : adjustable) {
        adjustTargets(proxy, load, minSlope);
      }
    }
  }

  /**
   * Returns the requests per second by endpoint index: those of the targets, and those that other
   * instances send.
   */
  private double[] plannedLoad(List<ProxyState> plannedProxies) {
    double[] load = new double[endpoints.size()];
    for (EndpointState endpoint : endpoints.all()) {
      double othersLoad = capacity.load(endpoint) - endpoint.statistics().attemptRate();
      load[endpoint.index()] = Math.max(0, othersLoad);
    }
    for (ProxyState proxy : plannedProxies) {
      for (Route route : proxy.table().routes()) {
        load[route.endpoint().index()] += proxy.averageRate() * route.target();
      }
    }
    return load;
  }

  /**
   * Returns the minimum slope of the loss. It is lower, for larger steps, while the fleet is known
   * to have spare capacity. Near full load, or before that is known, large steps would send all
   * tables to the same free capacity.
   */
  private double minSlope() {
    if (capacity.sampleCount() < MIN_CAPACITY_SAMPLES) {
      return DEFAULT_MIN_SLOPE;
    }
    double relativeLoadRatio = capacity.meanLoadRatio() / CapacityEstimator.TYPICAL_LOAD_RATIO;
    return DEFAULT_MIN_SLOPE * Math.min(1, Math.pow(relativeLoadRatio, SPARE_CAPACITY_EXPONENT));
  }

  /** Moves the targets of one table by a step, and updates the planned load accordingly. */
  private void adjustTargets(ProxyState proxy, double[] load, double minSlope) {
    List<Route> routes = proxy.table().routes();
    ensureArrayLength(routes.size());
    double meanPrice = 0;
    for (int i = 0; i < routes.size(); i++) {
      Route route = routes.get(i);
      EndpointState endpoint = route.endpoint();
      double loss = marginalLoss(endpoint, load[endpoint.index()]);
      slopes[i] = Math.max(1, Math.max(minSlope, LOSS_EXPONENT * loss));
      prices[i] =
          loss
              + FAILURE_PRICE * endpoint.statistics().failureShare(proxy.zone())
              + lateShares[endpoint.index()]
              + zonePrice(proxy, endpoint);
      meanPrice += route.target() * prices[i];
      load[endpoint.index()] -= proxy.averageRate() * route.target();
    }
    for (int i = 0; i < routes.size(); i++) {
      Route route = routes.get(i);
      if (route.isTargeted()) {
        double factor = Math.exp((meanPrice - prices[i]) / 2 / slopes[i]);
        route.setTarget(Math.max(Route.MIN_WEIGHT, route.target() * factor));
      }
    }
    proxy.table().normalizeTargets();
    for (Route route : routes) {
      load[route.endpoint().index()] += proxy.averageRate() * route.target();
    }
  }

  private double zonePrice(ProxyState proxy, EndpointState endpoint) {
    return endpoint.zone() == proxy.zone() ? 0 : settings.routing().crossZonePenalty();
  }

  private void ensureArrayLength(int routeCount) {
    if (prices.length < routeCount) {
      prices = new double[2 * routeCount];
      slopes = new double[2 * routeCount];
    }
  }

  /** Returns how many requests are lost for each additional request at an endpoint. */
  private static double marginalLoss(EndpointState endpoint, double load) {
    double loadRatio =
        endpoint.capacity() > 0 ? Math.min(MAX_LOAD_RATIO, load / endpoint.capacity()) : 0;
    return (LOSS_EXPONENT + 1) * Math.pow(loadRatio, LOSS_EXPONENT) / 2;
  }
}
