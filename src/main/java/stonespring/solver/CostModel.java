package stonespring.solver;

/**
 * Weights of the parts of a plan's cost. All are in lost requests, so that they can be added.
 *
 * @param congestion requests lost per additional request at an endpoint that is just full; above 0
 * @param zoneCrossing requests lost per request that is sent to another zone; at least 0
 * @param newRoute requests lost once when a connection is opened for a new route; at least 0
 */
public record CostModel(double congestion, double zoneCrossing, double newRoute) {
  /**
   * Validates the weights.
   *
   * @throws IllegalArgumentException if congestion is not above 0, another weight is below 0, or
   *     one of them is NaN or infinite
   */
  public CostModel {
    boolean inRange = congestion > 0 && zoneCrossing >= 0 && newRoute >= 0;
    if (!inRange || congestion + zoneCrossing + newRoute == Double.POSITIVE_INFINITY) {
      throw new IllegalArgumentException(
          "cost model: congestion must be above 0, zoneCrossing and newRoute at least 0, and all"
              + " finite, but congestion is "
              + congestion
              + ", zoneCrossing "
              + zoneCrossing
              + " and newRoute "
              + newRoute);
    }
  }
}
