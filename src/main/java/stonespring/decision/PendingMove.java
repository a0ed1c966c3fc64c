package stonespring.decision;

/** The change of one proxy's table from its weights to its targets, in one scheduling round. */
final class PendingMove {
  /** Requests per second; less is a rounding error. */
  private static final double MIN_RATE_CHANGE = 1e-6;

  private static final double UNKNOWN = -1;

  private final ProxyState proxy;
  private double potentialTime = UNKNOWN;
  private boolean onPath;

  PendingMove(ProxyState proxy) {
    this.proxy = proxy;
  }

  ProxyState proxy() {
    return proxy;
  }

  /** Whether it adds more than a rounding error to a route's endpoint. */
  boolean adds(Route route) {
    return proxy.rateChange(route) > MIN_RATE_CHANGE;
  }

  /** Whether it takes more than a rounding error from a route's endpoint. */
  boolean frees(Route route) {
    return proxy.rateChange(route) < -MIN_RATE_CHANGE;
  }

  boolean isPotentialTimeKnown() {
    return potentialTime >= 0;
  }

  /** Potential update time, DeciMillis. */
  double potentialTime() {
    return potentialTime;
  }

  void setPotentialTime(double potentialTime) {
    this.potentialTime = potentialTime;
  }

  /** Whether the search for the deepest dependency passes it at present. */
  boolean isOnPath() {
    return onPath;
  }

  void setOnPath(boolean onPath) {
    this.onPath = onPath;
  }
}
