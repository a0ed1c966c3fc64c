package stonespring.decision;

/** Estimates what each endpoint can serve and how loaded it is, in requests per second. */
final class CapacityEstimator {
  /** Load over capacity in normal operation; assumed until endpoints report utilization. */
  static final double TYPICAL_LOAD_RATIO = 0.6;

  /** Utilization below which a report's noise outweighs what it says of capacity. */
  private static final double MIN_UTILIZATION = 0.15;

  /** Requests per second below which an endpoint's load is not read. */
  private static final double MIN_LOAD = 1;

  /** Replaces a capacity of 0 as divisor. */
  static final double MIN_CAPACITY = 1e-9;

  /** Share of the new reading; the fleet's mean cost of a request is steady, its load is not. */
  private static final double READING_SHARE = 0.03;

  private final EndpointRegistry endpoints;
  private final TrafficEstimator traffic;
  private double unitCapacity = Double.NaN;
  private int readings;
  private double listedWeight;
  private double totalCapacity;
  private double meanCapacity;
  private double meanLoadRatio;

  CapacityEstimator(EndpointRegistry endpoints, TrafficEstimator traffic) {
    this.endpoints = endpoints;
    this.traffic = traffic;
  }

  /** Reads the capacity of a unit of listed weight from utilizations, at the start of a round. */
  void startRound() {
    double busyWeight =
        endpoints.sumOverReady(
            endpoint ->
                isReadable(endpoint)
                    ? endpoint.statistics().utilization() * endpoint.listedWeight()
                    : 0);
    if (busyWeight > 0) {
      readings++;
      double newShare = Math.max(READING_SHARE, 2.0 / (1 + readings));
      double load =
          endpoints.sumOverReady(endpoint -> isReadable(endpoint) ? reportedLoad(endpoint) : 0);
      unitCapacity = ExponentialAverage.update(unitCapacity, load / busyWeight, 1 - newShare);
    }
  }

  /**
   * Whether an endpoint's utilization tells its capacity: it is warm, busy and healthy. Under
   * overload attempts are refused or fail, and a slow endpoint may report too little.
   */
  private boolean isReadable(EndpointState endpoint) {
    EndpointStatistics statistics = endpoint.statistics();
    return statistics.utilization() > MIN_UTILIZATION
        && reportedLoad(endpoint) > MIN_LOAD
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
    listedWeight = endpoints.sumOverReady(EndpointState::listedWeight);
    double assumedLoad = assumedLoad();
    for (EndpointState endpoint : endpoints.all()) {
      double warmCapacity =
          unitCapacity > 0
              ? unitCapacity * endpoint.listedWeight()
              : endpoint.listedWeight()
                  / listedWeight
                  * Math.max(MIN_LOAD, assumedLoad)
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
    return statistics.utilization() >= 0 && unitCapacity > 0
        ? Math.max(statistics.attemptRate(), statistics.utilization() * endpoint.capacity())
        : reportedLoad(endpoint);
  }

  /** Load over capacity; 1 for an endpoint that is fully used. */
  double loadRatio(EndpointState endpoint) {
    return load(endpoint) / Math.max(MIN_CAPACITY, endpoint.capacity());
  }

  /** How often the capacity was read from utilizations. */
  int sampleCount() {
    return readings;
  }

  /** Listed weight of all endpoints that are ready. */
  double listedWeight() {
    return listedWeight;
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
