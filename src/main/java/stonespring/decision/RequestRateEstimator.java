package stonespring.decision;

import java.util.Arrays;
import java.util.stream.IntStream;
import stonespring.model.DeciMillis;
import stonespring.model.Event;

/** Estimates the requests per second that one proxy receives, by request class. */
final class RequestRateEstimator {
  /**
   * Weight that older reports keep in the mean number of requests per report. The mean covers
   * several reports, which arrive seconds apart.
   */
  private static final double REPORT_RETENTION = 0.8;

  private static final int FIXED_POINT_ITERATIONS = 20;

  /** Lower bound of the estimated share of intervals with requests. */
  private static final double MIN_REPORTED_SHARE = 0.05;

  /** Share of intervals with requests above which the rate is not corrected. */
  private static final double MAX_CORRECTED_SHARE = 0.99;

  private final double[] averageRates; // NaN until reported
  private final double[] latestRates;
  private final double[] requestsPerReport; // NaN until reported
  private double averageRate;
  private double latestRate;

  RequestRateEstimator(int requestClassCount) {
    averageRates = new double[requestClassCount];
    latestRates = new double[requestClassCount];
    requestsPerReport = new double[requestClassCount];
    Arrays.fill(averageRates, Double.NaN);
    Arrays.fill(requestsPerReport, Double.NaN);
  }

  /**
   * Applies the rate that a proxy states when it connects, unless a rate is known from earlier
   * reports or an earlier connection.
   *
   * @param statedRate requests per second
   */
  void applyStatedRate(double statedRate) {
    if (averageRate <= 0) {
      averageRate = statedRate;
    }
    latestRate = averageRate;
  }

  /**
   * Records a report. Until every request class has been reported, the estimate, which starts with
   * the rate that the proxy stated, does not decrease.
   */
  void record(Event.ProxyRequestRate report) {
    int index = report.requestClass().index();
    double sampledRate =
        report.requests() * (double) DeciMillis.SECOND / Math.max(1, report.interval());
    double retention = ExponentialAverage.retentionOver(report.interval());
    requestsPerReport[index] =
        ExponentialAverage.update(requestsPerReport[index], report.requests(), REPORT_RETENTION);
    latestRates[index] = sampledRate * emptyIntervalCorrection(requestsPerReport[index]);
    averageRates[index] = ExponentialAverage.update(averageRates[index], sampledRate, retention);
    double sum = IntStream.range(0, averageRates.length).mapToDouble(this::averageRate).sum();
    boolean allReported = Arrays.stream(averageRates).noneMatch(Double::isNaN);
    averageRate = allReported ? sum : Math.max(averageRate, sum);
    latestRate = allReported ? Arrays.stream(latestRates).sum() : averageRate;
  }

  /** Smoothed requests per second over all request classes. */
  double averageRate() {
    return averageRate;
  }

  /** Smoothed requests per second of one request class; 0 until it is reported. */
  double averageRate(int requestClass) {
    return Double.isNaN(averageRates[requestClass]) ? 0 : averageRates[requestClass];
  }

  /**
   * Requests per second over all request classes by the latest reports, corrected for intervals
   * without requests, which are not reported.
   */
  double latestRate() {
    return latestRate;
  }

  /**
   * Returns the correction factor for the rate of the latest report. A proxy reports only intervals
   * with requests, and a reported rate is used until the next report, so the mean rate is too high
   * by the factor -ln(s) / (1 - s), where s is the share of intervals with requests. Only the
   * square root of this factor is corrected, because under overload the requests that follow exceed
   * the mean.
   *
   * <p>The share s follows from the mean number of requests per interval under Poisson arrivals,
   * which is found by fixed-point iteration.
   *
   * @param meanRequestsPerReport mean number of requests per reported interval
   */
  private static double emptyIntervalCorrection(double meanRequestsPerReport) {
    double meanPerInterval = meanRequestsPerReport;
    for (int i = 0; i < FIXED_POINT_ITERATIONS; i++) {
      meanPerInterval = meanRequestsPerReport * (1 - Math.exp(-meanPerInterval));
    }
    double share = Math.max(MIN_REPORTED_SHARE, 1 - Math.exp(-meanPerInterval));
    return share > MAX_CORRECTED_SHARE ? 1 : Math.sqrt((share - 1) / Math.log(share));
  }
}
