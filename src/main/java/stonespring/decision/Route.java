package stonespring.decision;

/** One route of a proxy's table, with the weight that was sent and the target weight. */
final class Route {
  /**
   * Minimum weight of a route that is to be kept. The few attempts that it brings show when a
   * failing endpoint recovers.
   */
  static final double MIN_WEIGHT = 0.01;

  /** Absolute part of the difference of weights up to which a change is not sent. */
  private static final double ABSOLUTE_TOLERANCE = 0.005;

  /**
   * Relative part of the difference of weights up to which a change is not sent, as a share of the
   * larger weight.
   */
  private static final double RELATIVE_TOLERANCE = 0.05;

  private final EndpointState endpoint;
  private double weight;
  private double target;

  Route(EndpointState endpoint) {
    this.endpoint = endpoint;
  }

  EndpointState endpoint() {
    return endpoint;
  }

  /** The weight that was last sent to the proxy; 0 if the proxy's table lacks the route. */
  double weight() {
    return weight;
  }

  /** The weight that the route should have; 0 if it should be removed. */
  double target() {
    return target;
  }

  void setWeight(double weight) {
    this.weight = weight;
  }

  void setTarget(double target) {
    this.target = target;
  }

  /** Whether the route was sent to the proxy and not removed since. */
  boolean isApplied() {
    return weight > 0;
  }

  /** Whether the route is to be added or kept. */
  boolean isTargeted() {
    return target > 0;
  }

  /**
   * Whether two weights differ by enough to be worth a channel entry. A change from or to 0 always
   * is, as it adds or removes the route.
   */
  static boolean differsSignificantly(double first, double second) {
    double tolerance = ABSOLUTE_TOLERANCE + RELATIVE_TOLERANCE * Math.max(first, second);
    return Math.abs(first - second) > tolerance || (first > 0) != (second > 0);
  }
}
