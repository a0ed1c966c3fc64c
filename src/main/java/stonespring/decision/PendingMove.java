package stonespring.decision;

/** The change of one proxy's table from its weights to its targets, in one scheduling round. */
final class PendingMove {
  /** Change, in requests per second, up to which a difference is a rounding error. */
  private static final double MIN_RATE_CHANGE = 1e-6;

  /** Stands for a potential update time that is not computed yet. */
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

  /** Returns whether the move adds more than a rounding error to the load of a route's endpoint. */
  boolean addsLoadTo(Route route) {
    return proxy.rateChange(route) > MIN_RATE_CHANGE;
  }

  /**
   * Returns whether the move takes more than a rounding error from the load of a route's endpoint.
   */
  boolean removesLoadFrom(Route route) {
    return proxy.rateChange(route) < -MIN_RATE_CHANGE;
  }

  boolean isPotentialUpdateTimeKnown() {
    return potentialUpdateTime >= 0;
  }

  /** Returns the potential update time, DeciMillis; {@link UpdateScheduler} defines it. */
  double potentialUpdateTime() {
    return potentialUpdateTime;
  }

  void setPotentialUpdateTime(double potentialUpdateTime) {
    this.potentialUpdateTime = potentialUpdateTime;
  }

  /**
   * Returns whether the move is on the path that the search for the longest chain of waiting moves
   * currently follows.
   */
  boolean isOnSearchPath() {
    return onSearchPath;
  }

  void setOnSearchPath(boolean onSearchPath) {
    this.onSearchPath = onSearchPath;
  }
}
