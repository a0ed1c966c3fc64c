package stonespring.proxy;

import stonespring.model.LoadReport;

/**
 * A task's load as it stands in an answer's {@code endpoint-load-metrics} header, in the text form
 * of the Open Request Cost Aggregation load report: {@code TEXT
 * cpu_utilization=0.5,rps_fractional=12,named_metrics.waiting=3}.
 */
public final class LoadHeader {
  public static final String NAME = "endpoint-load-metrics";

  private LoadHeader() {}

  /** The load that a header tells; null where it is none that is understood. */
  static LoadReport read(String header) {
    if (!header.startsWith("TEXT ")) {
      return null;
    }
    double[] figures = {Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN};
    for (String pair : header.substring(5).split(",")) {
      int at = pair.indexOf('=');
      int which =
          at < 0
              ? -1
              : switch (pair.substring(0, at).strip()) {
                case "cpu_utilization" -> 0;
                case "named_metrics.waiting" -> 1;
                case "named_metrics.in_hand" -> 2;
                case "named_metrics.work_ms" -> 3;
                case "rps_fractional" -> 4;
                default -> -1;
              };
      if (which >= 0) {
        try {
          double value = Double.parseDouble(pair.substring(at + 1).strip());
          figures[which] = value >= 0 && value < 1e9 ? value : Double.NaN;
        } catch (NumberFormatException e) {
          return null; // half a report is no report
        }
      }
    }
    return new LoadReport(figures[0], figures[1], figures[2], figures[3], figures[4]);
  }
}
