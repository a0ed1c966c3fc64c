package stonespring.model;

/** A task's own account of its load; a figure that it does not give is NaN. */
public record LoadReport(
    double busyShare, double waiting, double inHand, double workMs, double opsPerSecond) {
  public static final LoadReport NONE =
      new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
}
