package stonespring.decision;

/** The change of one proxy's table from its weights to its targets, in one scheduling round. */
final class PendingMove {
  /** Requests per second; less is a rounding error. */
  private static final double MIN_RATE_CHANGE = 1e-6;

  private static final double UNKNOWN = -1;

  private final ProxyState proxy;
  private double potentialUpdateTime = UNKNOWN;
  private boolean onSearchPath;

  PendingMove(ProxyState proxy) {
    this.proxy = proxy;
  }

  ProxyState proxy() {
    return proxy;
  }

  /** Whether it adds more than a rounding error to a route's endpoint. */
  boolean addsLoadTo(Route route) {
    return proxy.rateChange(route) > MIN_RATE_CHANGE;
  }

  /** Whether it takes more than a rounding error from a route's endpoint. */
  boolean removesLoadFrom(Route route) {
    return proxy.rateChange(route) < -MIN_RATE_CHANGE;
  }

  boolean isPotentialUpdateTimeKnown() {
    return potentialUpdateTime >= 0;
  }

  /** Potential update time, DeciMillis. */
  double potentialUpdateTime() {
    return potentialUpdateTime;
  }

  void setPotentialUpdateTime(double potentialUpdateTime) {
    this.potentialUpdateTime = potentialUpdateTime;
  }

  /** Whether the search for the deepest dependency passes it at present. */
  boolean isOnSearchPath() {
    return onSearchPath;
  }

  void setOnSearchPath(boolean onSearchPath) {
    this.onSearchPath = onSearchPath;
  }
}
