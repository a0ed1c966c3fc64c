package stonespring.proxy;

import stonespring.model.LoadReport;

/**
 * An endpoint's load as it stands in an answer's {@code endpoint-load-metrics} header, in the text
 * form of the Open Request Cost Aggregation load report: {@code TEXT
 * cpu_utilization=0.5,rps_fractional=12,named_metrics.waiting=3}.
 */
public final class LoadReportHeader {
  /** The header's name. */
  public static final String NAME = "endpoint-load-metrics";

  private static final String TEXT_FORM = "TEXT ";

  /** Figures at or above it are implausible and count as unknown. */
  private static final double MAX_FIGURE = 1e9;

  private LoadReportHeader() {}

  /** The load that a header tells; null if it is not in this form. */
  static LoadReport read(String header) {
    if (!header.startsWith(TEXT_FORM)) {
      return null;
    }
    double utilization = Double.NaN;
    double queueLength = Double.NaN;
    double inFlight = Double.NaN;
    double serviceTimeMillis = Double.NaN;
    double requestsPerSecond = Double.NaN;
    try {
      for (String pair : header.substring(TEXT_FORM.length()).split(",")) {
        int equals = pair.indexOf('=');
        String name = equals < 0 ? "" : pair.substring(0, equals).strip();
        String value = pair.substring(equals + 1).strip();
        switch (name) {
          case "cpu_utilization" -> utilization = figure(value);
          case "named_metrics.waiting" -> queueLength = figure(value);
          case "named_metrics.in_hand" -> inFlight = figure(value);
          case "named_metrics.work_ms" -> serviceTimeMillis = figure(value);
          case "rps_fractional" -> requestsPerSecond = figure(value);
          default -> {
            // other metrics say nothing of the load
          }
        }
      }
    } catch (NumberFormatException e) {
      return null; // a number that can't be read invalidates the whole report
    }
    return new LoadReport(utilization, queueLength, inFlight, serviceTimeMillis, requestsPerSecond);
  }

  private static double figure(String text) {
    double value = Double.parseDouble(text);
    return value >= 0 && value < MAX_FIGURE ? value : Double.NaN;
  }
}
