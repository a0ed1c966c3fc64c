package stonespring.cli;

import com.fasterxml.jackson.annotation.JsonUnwrapped;
import stonespring.testbed.virtual.ComparisonRow;
import stonespring.testbed.virtual.ConfidenceInterval;
import stonespring.testbed.virtual.Policy;

/**
 * A row of a comparison in the form that {@code compare --json} prints. The names of the components
 * and their order are part of the output format.
 */
record ComparisonJson(
    String load,
    Policy policy,
    Span service,
    Span against,
    double worstWindow,
    @JsonUnwrapped Averages averages,
    double coldWorst,
    double bareSeconds) {

  record Span(double mean, double low, double high) {
    private static Span of(ConfidenceInterval interval) {
      return new Span(interval.mean(), interval.low(), interval.high());
    }
  }

  record Averages(double connections, double lines, double crossings) {}

  static ComparisonJson of(ComparisonRow row) {
    ComparisonRow.Averages averages = row.averages();
    return new ComparisonJson(
        row.load(),
        row.policy(),
        Span.of(row.service()),
        Span.of(row.difference()),
        row.worstWindowService(),
        new Averages(averages.connections(), averages.routeChanges(), averages.crossZoneFraction()),
        row.peakWarmUpLoad(),
        averages.secondsWithoutRoutes());
  }
}
