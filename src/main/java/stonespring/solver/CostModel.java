package stonespring.solver;

/**
 * What things cost, all in lost requests, so that they can be added up.
 *
 * @param lateness lost for one more request at an endpoint that is just full; above 0
 * @param crossing lost for one request sent to another zone
 * @param newRoute lost for opening a connection for a route, once
 */
public record CostModel(double lateness, double crossing, double newRoute) {
  /**
   * Checks the figures.
   *
   * @throws IllegalArgumentException if a cost is below 0, lateness is 0 or one is no number
   */
  public CostModel {
    boolean inRange = lateness > 0 && crossing >= 0 && newRoute >= 0;
    if (!inRange || lateness + crossing + newRoute == Double.POSITIVE_INFINITY) {
      throw new IllegalArgumentException(
          "costs: lateness must be above 0 and the others at least 0: "
              + lateness
              + ", "
              + crossing
              + ", "
              + newRoute);
    }
  }
}
