package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import stonespring.model.EndpointId;
import stonespring.model.Event;
import stonespring.model.LoadReport;
import stonespring.model.RequestClass;
import stonespring.model.RetrySafety;
import stonespring.model.ZoneId;

/** Tests the statistics of the outcomes at one endpoint. */
final class EndpointStatisticsTest {
  private static final LatencyModel LATENCY =
      new LatencyModel(List.of(new RequestClass(RetrySafety.IDEMPOTENT, 1000, 1)));

  private final EndpointStatistics statistics = new EndpointStatistics(LATENCY, 2);

  private void record(int zone, long attempts, long failures, long latency, long now) {
    statistics.record(
        new Event.EndpointOutcomes(
            new EndpointId("e"),
            new ZoneId(zone),
            attempts,
            failures,
            Fleet.SECOND,
            latency,
            LoadReport.NONE),
        now);
  }

  @Test
  void hasNoFailuresOrUtilizationBeforeFirstReport() {
    assertEquals(1, statistics.successShare());
    assertEquals(0, statistics.failedOrLateShare());
    assertEquals(Double.NaN, statistics.utilization());
  }

  @Test
  void countsFailuresPerZoneAndInTotal() {
    record(0, 8, 8, 0, 1);
    record(1, 8, 0, 100, 1);
    assertEquals(0.8, statistics.failureShare(0));
    assertEquals(0, statistics.failureShare(1));
    assertEquals(1 - 8.0 / 18, statistics.successShare());
  }

  @Test
  void countsAnswersAfterObjectiveAsLate() {
    record(0, 8, 0, 1000, 1);
    assertEquals(Math.exp(-1), statistics.lateShare());
    assertEquals(Math.exp(-1), statistics.failedOrLateShare(), 1e-12);
  }

  @Test
  void sumsRatesOfZonesAndDecaysThemOnceReportsStop() {
    record(0, 8, 0, 100, 1);
    record(1, 4, 0, 100, 1);
    statistics.startRound(1, Fleet.SECOND);
    assertEquals(12, statistics.attemptRate());
    statistics.startRound(1 + 5 * Fleet.SECOND, Fleet.SECOND);
    assertEquals(
        12, statistics.attemptRate(), "a report that is up to five seconds old does not decay");
    statistics.startRound(2 + 5 * Fleet.SECOND, Fleet.SECOND);
    assertEquals(12 * Math.sqrt(0.5), statistics.attemptRate(), 1e-9);
  }
}
