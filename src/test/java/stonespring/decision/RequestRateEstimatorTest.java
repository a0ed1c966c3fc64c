package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import stonespring.model.Event;
import stonespring.model.ProxyId;
import stonespring.model.RequestClassId;

/** Tests the estimate of the requests per second that a proxy receives. */
final class RequestRateEstimatorTest {
  private final RequestRateEstimator estimator = new RequestRateEstimator(2);

  private void report(int requestClass, long requests) {
    estimator.record(
        new Event.ProxyRequestRate(
            new ProxyId(0), new RequestClassId(requestClass), requests, 0, Fleet.SECOND));
  }

  @Test
  void usesStatedRateUntilAllClassesAreReported() {
    estimator.applyStatedRate(50);
    assertEquals(50, estimator.averageRate());
    report(0, 20);
    assertEquals(50, estimator.averageRate());
    assertEquals(50, estimator.latestRate());
    report(1, 10);
    assertEquals(30, estimator.averageRate());
    assertEquals(30, estimator.latestRate(), 1e-6);
  }

  @Test
  void keepsReportedRateWhenProxyReconnects() {
    report(0, 20);
    report(1, 10);
    estimator.applyStatedRate(500);
    assertEquals(30, estimator.averageRate());
    assertEquals(30, estimator.latestRate());
  }

  @Test
  void averageHalvesDistanceToNewRateInTwoSeconds() {
    report(0, 20);
    report(1, 0);
    report(0, 60);
    report(0, 60);
    assertEquals(40, estimator.averageRate(0), 1e-9);
  }

  /**
   * With about one request per interval on average, many intervals have none and are not reported,
   * so that reported rates are too high.
   */
  @Test
  void latestRateIsReducedForIntervalsThatAreNotReported() {
    report(0, 1);
    report(1, 1);
    assertTrue(
        estimator.latestRate() < 2 && estimator.latestRate() > 0.2,
        "expected a rate between 0.2 and 2, found " + estimator.latestRate());
  }
}
