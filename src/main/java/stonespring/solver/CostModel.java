package stonespring.solver;

/**
 * What things cost, all in lost requests, so that they can be added up.
 *
 * @param congestion lost for one more request at an endpoint that is just full; above 0
 * @param zoneCrossing lost for one request sent to another zone
 * @param newRoute lost for opening a connection for a route, once
 */
public record CostModel(double congestion, double zoneCrossing, double newRoute) {
  /**
   * Checks the figures.
   *
   * @throws IllegalArgumentException if a cost is below 0, lateness is 0 or one is no number
   */
  public CostModel {
    boolean inRange = congestion > 0 && zoneCrossing >= 0 && newRoute >= 0;
    if (!inRange || congestion + zoneCrossing + newRoute == Double.POSITIVE_INFINITY) {
      throw new IllegalArgumentException(
          "costs: lateness must be above 0 and the others at least 0: "
              + congestion
              + ", "
              + zoneCrossing
              + ", "
              + newRoute);
    }
  }
}
