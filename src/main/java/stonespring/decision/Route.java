package stonespring.decision;

/** One route of a proxy's table: its weight and the weight that the current round wants. */
final class Route {
  /** Weight of any wanted route: its few attempts show when a failing endpoint recovers. */
  static final double MIN_WEIGHT = 0.01;

  /** Weight; a smaller difference is not sent. */
  private static final double ABSOLUTE_TOLERANCE = 0.005;

  /** Share of the larger weight; a smaller difference is not sent. */
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

  /** The weight that was sent to the proxy; 0 if the table does not hold the route yet. */
  double weight() {
    return weight;
  }

  /** The weight that is wanted; 0 to remove the route. */
  double target() {
    return target;
  }

  void setWeight(double weight) {
    this.weight = weight;
  }

  void setTarget(double target) {
    this.target = target;
  }

  /** Whether the table that the proxy holds has the route. */
  boolean isApplied() {
    return weight > 0;
  }

  boolean isTargeted() {
    return target > 0;
  }

  /** Whether two weights differ by enough to be worth an entry of the channel. */
  static boolean differsSignificantly(double first, double second) {
    double tolerance = ABSOLUTE_TOLERANCE + RELATIVE_TOLERANCE * Math.max(first, second);
    return Math.abs(first - second) > tolerance || (first > 0) != (second > 0);
  }
}
