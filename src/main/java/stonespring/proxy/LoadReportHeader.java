package stonespring.proxy;

import stonespring.model.LoadReport;

/**
 * Decodes an endpoint's load from the {@code endpoint-load-metrics} header of its answer, which has
 * the text format of the Open Request Cost Aggregation (ORCA) load report: {@code TEXT
 * cpu_utilization=0.5,rps_fractional=12,named_metrics.waiting=3}.
 */
public final class LoadReportHeader {
  /** Name of the header. */
  public static final String NAME = "endpoint-load-metrics";

  private static final String TEXT_FORMAT_PREFIX = "TEXT ";

  /** Values at or above this bound are implausible and count as unknown. */
  private static final double MAX_METRIC_VALUE = 1e9;

  private LoadReportHeader() {}

  /**
   * Decodes a header value.
   *
   * @return the load, with NaN for each metric that is missing or implausible; null if the header
   *     is not in the text format or a number in it is malformed
   */
  static LoadReport read(String header) {
    if (!header.startsWith(TEXT_FORMAT_PREFIX)) {
      return null;
    }
    double utilization = Double.NaN;
    double queueLength = Double.NaN;
    double inFlight = Double.NaN;
    double serviceTimeMillis = Double.NaN;
    double requestsPerSecond = Double.NaN;
    try {
      for (String pair : header.substring(TEXT_FORMAT_PREFIX.length()).split(",")) {
        int separator = pair.indexOf('=');
        String name = separator < 0 ? "" : pair.substring(0, separator).strip();
        String value = pair.substring(separator + 1).strip();
        switch (name) {
          case "cpu_utilization" -> utilization = parseMetric(value);
          case "named_metrics.waiting" -> queueLength = parseMetric(value);
          case "named_metrics.in_hand" -> inFlight = parseMetric(value);
          case "named_metrics.work_ms" -> serviceTimeMillis = parseMetric(value);
          case "rps_fractional" -> requestsPerSecond = parseMetric(value);
          default -> {
            // Other metrics are not part of the load report.
          }
        }
      }
    } catch (NumberFormatException e) {
      return null; // A malformed number invalidates the whole report.
    }
    return new LoadReport(utilization, queueLength, inFlight, serviceTimeMillis, requestsPerSecond);
  }

  private static double parseMetric(String text) {
    double value = Double.parseDouble(text);
    return value >= 0 && value < MAX_METRIC_VALUE ? value : Double.NaN;
  }
}
