package stonespring.decision;

/** Estimates the capacity and the load of each endpoint, in requests per second. */
final class CapacityEstimator {
  /** Ratio of load to capacity in normal operation; assumed until endpoints report utilization. */
  static final double TYPICAL_LOAD_RATIO = 0.6;

  /** Utilization below which reports are too noisy to derive a capacity from. */
  private static final double MIN_UTILIZATION = 0.15;

  /**
   * Requests per second up to which an endpoint's utilization does not count as a sample of
   * capacity; also the minimum of the load that is assumed while there are no samples.
   */
  private static final double MIN_LOAD_PER_SECOND = 1;

  /** Divisor that replaces a capacity of 0. */
  static final double MIN_CAPACITY = 1e-9;

  /**
   * Weight of a new sample in the capacity average once there are many. It is small because the
   * fleet's mean cost of a request is steady, while its load is not.
   */
  private static final double MIN_SAMPLE_WEIGHT = 0.03;

  private final EndpointRegistry endpoints;
  private final TrafficEstimator traffic;
  private double capacityPerWeight = Double.NaN;
  private int sampleCount;
  private double totalListedWeight;
  private double totalCapacity;
  private double meanCapacity;
  private double meanLoadRatio;

  CapacityEstimator(EndpointRegistry endpoints, TrafficEstimator traffic) {
    this.endpoints = endpoints;
    this.traffic = traffic;
  }

  /**
   * Updates the capacity per unit of listed weight from reported utilizations, at the start of a
   * round.
   */
  void startRound() {
    double utilizedWeight =
        endpoints.sumOverReady(
            endpoint ->
                isUsableSample(endpoint)
                    ? endpoint.statistics().utilization() * endpoint.listedWeight()
                    : 0);
    if (utilizedWeight > 0) {
      sampleCount++;
      double sampleWeight = Math.max(MIN_SAMPLE_WEIGHT, 2.0 / (1 + sampleCount));
      double load =
          endpoints.sumOverReady(endpoint -> isUsableSample(endpoint) ? reportedLoad(endpoint) : 0);
      capacityPerWeight =
          ExponentialAverage.update(capacityPerWeight, load / utilizedWeight, 1 - sampleWeight);
    }
  }

  /**
   * Whether an endpoint's capacity can be derived from its utilization, which requires that it is
   * warm, busy and healthy. Under overload attempts are refused or fail, and a slow endpoint may
   * report too low a utilization.
   */
  private boolean isUsableSample(EndpointState endpoint) {
    EndpointStatistics statistics = endpoint.statistics();
    return statistics.utilization() > MIN_UTILIZATION
        && reportedLoad(endpoint) > MIN_LOAD_PER_SECOND
        && endpoints.isWarm(endpoint)
        && statistics.failedOrLateShare() < EndpointStatistics.NORMAL_FAILED_OR_LATE_SHARE;
  }

  /**
   * Requests per second at an endpoint by its own reports; without these, extrapolated from the
   * attempts of this instance's proxies.
   */
  private double reportedLoad(EndpointState endpoint) {
    EndpointStatistics statistics = endpoint.statistics();
    return Double.isNaN(statistics.reportedRate())
        ? statistics.attemptRate() / traffic.reportedShare()
        : Math.max(statistics.reportedRate(), statistics.attemptRate());
  }

  /**
   * Updates all capacities. An endpoint's capacity is its listed weight times the capacity per unit
   * of weight, reduced while the endpoint warms up. Until there are samples of utilization, the
   * current load is assumed to be {@link #TYPICAL_LOAD_RATIO} of the capacity.
   */
  void updateCapacities() {
    totalListedWeight = endpoints.sumOverReady(EndpointState::listedWeight);
    double assumedLoad = assumedLoad();
    for (EndpointState endpoint : endpoints.all()) {
      double warmCapacity =
          capacityPerWeight > 0
              ? capacityPerWeight * endpoint.listedWeight()
              : endpoint.listedWeight()
                  / totalListedWeight
                  * Math.max(MIN_LOAD_PER_SECOND, assumedLoad)
                  / TYPICAL_LOAD_RATIO;
      endpoint.setCapacity(
          endpoint.isReady() ? warmCapacity * endpoints.warmUpFraction(endpoint) : 0);
    }
    totalCapacity = endpoints.sumOverReady(EndpointState::capacity);
    meanCapacity = totalCapacity / Math.max(1, endpoints.sumOverReady(endpoint -> 1));
    meanLoadRatio = endpoints.sumOverReady(this::load) / totalCapacity;
  }

  /**
   * The fleet's load, in requests per second, that is assumed while there is no sample of capacity.
   * Only successful attempts count, since clients' retries do not show what endpoints can serve.
   * The first reports cover little of the traffic of newly connected proxies, so only their success
   * share is used.
   */
  private double assumedLoad() {
    double succeeded =
        endpoints.sumOverReady(
            endpoint -> endpoint.statistics().attemptRate() * endpoint.statistics().successShare());
    double offered = traffic.connectedRate() / traffic.share();
    if (succeeded <= 0) {
      return offered;
    }
    if (!traffic.hasProxyInReports()) {
      return offered
          * succeeded
          / endpoints.sumOverReady(endpoint -> endpoint.statistics().attemptRate());
    }
    return Math.min(offered, succeeded / traffic.reportedShare());
  }

  /**
   * Estimated requests per second at an endpoint from all instances' proxies; at least the attempts
   * of this instance's proxies.
   */
  double load(EndpointState endpoint) {
    EndpointStatistics statistics = endpoint.statistics();
    return statistics.utilization() >= 0 && capacityPerWeight > 0
        ? Math.max(statistics.attemptRate(), statistics.utilization() * endpoint.capacity())
        : reportedLoad(endpoint);
  }

  /** Ratio of load to capacity; 1 for an endpoint that is fully utilized. */
  double loadRatio(EndpointState endpoint) {
    return load(endpoint) / Math.max(MIN_CAPACITY, endpoint.capacity());
  }

  /** Number of rounds in which the capacity was sampled from utilizations. */
  int sampleCount() {
    return sampleCount;
  }

  /** Sum of the listed weights of all ready endpoints. */
  double totalListedWeight() {
    return totalListedWeight;
  }

  /** Sum of the capacities of all ready endpoints, in requests per second. */
  double totalCapacity() {
    return totalCapacity;
  }

  /** Mean capacity of a ready endpoint, in requests per second; 0 if none is ready. */
  double meanCapacity() {
    return meanCapacity;
  }

  /** Ratio of the total load to the total capacity of all ready endpoints. */
  double meanLoadRatio() {
    return meanLoadRatio;
  }
}
