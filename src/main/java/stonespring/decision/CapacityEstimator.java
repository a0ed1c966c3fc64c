package stonespring.decision;

/** Estimates what each endpoint can serve and how loaded it is, in requests per second. */
final class CapacityEstimator {
  /** Load over capacity in normal operation; assumed until endpoints report utilization. */
  static final double TYPICAL_LOAD_RATIO = 0.6;

  /** Utilization below which a report's noise outweighs what it says of capacity. */
  private static final double MIN_UTILIZATION = 0.15;

  /** Requests per second below which an endpoint's load is not read. */
  private static final double MIN_LOAD_PER_SECOND = 1;

  /** Replaces a capacity of 0 as divisor. */
  static final double MIN_CAPACITY = 1e-9;

  /** Share of the new reading; the fleet's mean cost of a request is steady, its load is not. */
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

  /** Reads the capacity of a unit of listed weight from utilizations, at the start of a round. */
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
   * Whether an endpoint's utilization tells its capacity: it is warm, busy and healthy. Under
   * overload attempts are refused or fail, and a slow endpoint may report too little.
   */
  private boolean isUsableSample(EndpointState endpoint) {
    EndpointStatistics statistics = endpoint.statistics();
    return statistics.utilization() > MIN_UTILIZATION
        && reportedLoad(endpoint) > MIN_LOAD_PER_SECOND
        && endpoints.isWarm(endpoint)
        && statistics.failedOrLateShare() < EndpointStatistics.NORMAL_FAILED_OR_LATE_SHARE;
  }

  /** Requests per second at an endpoint by its reports, or from this instance's part of them. */
  private double reportedLoad(EndpointState endpoint) {
    EndpointStatistics statistics = endpoint.statistics();
    return Double.isNaN(statistics.reportedRate())
        ? statistics.attemptRate() / traffic.reportedShare()
        : Math.max(statistics.reportedRate(), statistics.attemptRate());
  }

  /**
   * Brings all capacities up to date: listed weight times the capacity of a unit, reduced while an
   * endpoint warms up. Until utilizations are read, the present load is taken for a typical one.
   */
  void refresh() {
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
   * The fleet's load while no capacity is read: what succeeds, since clients' retries are no
   * measure of what endpoints can do. The first reports hold little of what newly connected proxies
   * send; only their share of success counts.
   */
  private double assumedLoad() {
    double succeeded =
        endpoints.sumOverReady(
            endpoint -> endpoint.statistics().attemptRate() * endpoint.statistics().successShare());
    double offered = traffic.connectedRate() / traffic.share();
    if (succeeded <= 0) {
      return offered;
    }
    if (!traffic.hasVisibleProxies()) {
      return offered
          * succeeded
          / endpoints.sumOverReady(endpoint -> endpoint.statistics().attemptRate());
    }
    return Math.min(offered, succeeded / traffic.reportedShare());
  }

  /** Requests per second at an endpoint from all instances: no less than this one's attempts. */
  double load(EndpointState endpoint) {
    EndpointStatistics statistics = endpoint.statistics();
    return statistics.utilization() >= 0 && capacityPerWeight > 0
        ? Math.max(statistics.attemptRate(), statistics.utilization() * endpoint.capacity())
        : reportedLoad(endpoint);
  }

  /** Load over capacity; 1 for an endpoint that is fully used. */
  double loadRatio(EndpointState endpoint) {
    return load(endpoint) / Math.max(MIN_CAPACITY, endpoint.capacity());
  }

  /** How often the capacity was read from utilizations. */
  int sampleCount() {
    return sampleCount;
  }

  /** Listed weight of all endpoints that are ready. */
  double totalListedWeight() {
    return totalListedWeight;
  }

  double totalCapacity() {
    return totalCapacity;
  }

  double meanCapacity() {
    return meanCapacity;
  }

  /** Load of all endpoints that are ready over their capacity. */
  double meanLoadRatio() {
    return meanLoadRatio;
  }
}
