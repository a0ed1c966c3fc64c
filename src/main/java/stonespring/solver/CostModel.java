package stonespring.solver;

/**
 * What things cost, all in ops lost, so that they can be added up.
 *
 * @param lateness lost for one more op on a task that is just full
 * @param crossing lost for one op sent to another zone
 * @param newLine lost for opening a line, once
 */
public record CostModel(double lateness, double crossing, double newLine) {
  /**
   * @throws IllegalArgumentException if a price is below 0, lateness is 0 or one is no number
   */
  public CostModel {
    if (!(lateness > 0)
        || !(crossing >= 0)
        || !(newLine >= 0)
        || lateness + crossing + newLine == Double.POSITIVE_INFINITY) {
      throw new IllegalArgumentException(
          "prices: lateness must be above 0 and the others at least 0: "
              + lateness
              + ", "
              + crossing
              + ", "
              + newLine);
    }
  }
}
