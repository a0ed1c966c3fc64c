package stonespring.solver;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;

final class ReportCredibilityTest {
  private static final long SECOND = DeciMillis.SECOND;
  private static final double CAPACITY = 10; // true requests per second of every endpoint

  private final ReportCredibility credibility = new ReportCredibility();
  private long now = 1_000 * SECOND;

  private static EndpointId id(int i) {
    return new EndpointId("t" + i);
  }

  private void recordHonestClaims(int from, int to) {
    for (int i = from; i < to; i++) {
      credibility.setListedWeight(id(i), 1);
      credibility.recordClaim(id(i), ReportCredibility.Source.ENDPOINT, CAPACITY, now);
    }
  }

  private ReportCredibility.CapacityEstimate estimate(int i) {
    return credibility.estimateCapacities(now).stream()
        .filter(estimate -> estimate.endpoint().equals(id(i)))
        .findFirst()
        .orElseThrow();
  }

  /**
   * One claim of three times the true capacity, never repeated, and load reports that arrive late.
   * The estimate, and so the load, may exceed the true capacity by at most a quarter. It may be
   * more than a tenth above it for no longer than twice the delay of reports plus 4 s, and at the
   * end it may be at most 5% above.
   */
  @Property(tries = 40, seed = "1")
  void boundsTheEffectOfAStaleClaim(
      @ForAll @IntRange(max = 100_000) int seed,
      @ForAll @IntRange(min = 1, max = 5) int reportDelay) {
    SplittableRandom random = new SplittableRandom(seed);
    recordHonestClaims(0, 10);
    credibility.recordClaim(id(3), ReportCredibility.Source.ENDPOINT, 3 * CAPACITY, now + 1);
    double[] estimates = new double[60];
    int secondsOver = 0;
    for (int second = 0; second < 60; second++, now += SECOND) {
      for (int i = 0; i < 10; i++) {
        if (i != 3) {
          credibility.recordClaim(
              id(i),
              ReportCredibility.Source.ENDPOINT,
              CAPACITY * (0.95 + 0.1 * random.nextDouble()),
              now);
        }
      }
      estimates[second] = estimate(3).capacity();
      assertTrue(
          estimates[second] <= 1.25 * 1.06 * CAPACITY,
          "estimate at second "
              + second
              + ": expected at most 1.325 times the capacity "
              + CAPACITY
              + ", found "
              + estimates[second]);
      secondsOver += estimates[second] > 1.1 * CAPACITY ? 1 : 0;
      if (second >= reportDelay) {
        double load = 0.98 * estimates[second - reportDelay];
        long attempts = Math.round(load * 10);
        double failures = Math.min(0.9, Math.max(0, 4 * (load / CAPACITY - 1))) * attempts;
        credibility.recordOutcomes(id(3), attempts, failures, 10 * SECOND, 0, now);
      }
    }
    assertTrue(
        secondsOver <= 2 * reportDelay + 4,
        "seconds with an estimate more than a tenth above the true capacity: expected at most "
            + (2 * reportDelay + 4)
            + " with reports "
            + reportDelay
            + " s late, found "
            + secondsOver);
    assertTrue(
        estimates[59] <= 1.05 * CAPACITY && estimates[59] >= 0.5 * CAPACITY,
        "estimate at the end: expected 0.5 to 1.05 times the capacity "
            + CAPACITY
            + ", found "
            + estimates[59]);
  }

  @Test
  void capsClaimAtObservedCapacity() {
    recordHonestClaims(0, 5);
    credibility.recordOutcomes(id(2), 60, 40, 10 * SECOND, 0, now);
    assertEquals(ReportCredibility.Reason.OBSERVED_CEILING, estimate(2).reason());
    assertTrue(
        estimate(2).capacity() < 0.5 * CAPACITY,
        "estimate after 2 successes per second: expected less than half of the capacity "
            + CAPACITY
            + ", found "
            + estimate(2).capacity());
    for (int second = 0; second < 60; second++) {
      now += SECOND;
      credibility.recordOutcomes(id(2), 5, 0, SECOND, 0, now);
      recordHonestClaims(0, 5);
    }
    assertTrue(
        estimate(2).capacity() > 0.9 * CAPACITY,
        "estimate after 60 s without failures: expected more than 0.9 times the capacity "
            + CAPACITY
            + ", found "
            + estimate(2).capacity());
  }

  @Test
  void usesLowestClaimWhenSourcesDisagree() {
    recordHonestClaims(0, 5);
    credibility.recordClaim(id(1), ReportCredibility.Source.OPERATOR, 0.5 * CAPACITY, now);
    assertEquals(ReportCredibility.Reason.SOURCES_DISAGREE, estimate(1).reason());
    assertEquals(0.5 * CAPACITY, estimate(1).capacity(), 0.01);
  }

  @Test
  void raisesEstimateStepByStepAsEndpointProvesCapacity() {
    recordHonestClaims(0, 5);
    double lastEstimate = 0;
    for (int second = 0; second < 40; second++) {
      now += SECOND;
      recordHonestClaims(0, 4);
      credibility.setListedWeight(id(4), 1);
      credibility.recordClaim(id(4), ReportCredibility.Source.ENDPOINT, 3 * CAPACITY, now);
      double estimate = estimate(4).capacity();
      assertTrue(
          second == 0 || estimate <= 1.26 * Math.max(CAPACITY, lastEstimate),
          "estimate: expected at most 1.26 times the larger of "
              + CAPACITY
              + " and "
              + lastEstimate
              + ", found "
              + estimate);
      lastEstimate = estimate;
      credibility.recordOutcomes(id(4), Math.round(estimate * 10), 0, 10 * SECOND, 0, now);
    }
    assertTrue(
        lastEstimate > 2.9 * CAPACITY,
        "estimate at the end: expected more than 2.9 times "
            + CAPACITY
            + ", found "
            + lastEstimate);
  }

  @Test
  void ignoresExpiredAndSupersededClaims() {
    recordHonestClaims(0, 5);
    credibility.recordClaim(id(0), ReportCredibility.Source.ENDPOINT, 1.2 * CAPACITY, now + SECOND);
    credibility.recordClaim(id(0), ReportCredibility.Source.ENDPOINT, 0.1 * CAPACITY, now - SECOND);
    now += SECOND;
    assertEquals(1.2 * CAPACITY, estimate(0).claimed(), 1e-9);
    now += 31 * SECOND;
    recordHonestClaims(1, 5);
    assertEquals(ReportCredibility.Reason.LISTED, estimate(0).reason());
    assertEquals(
        0.7 * CAPACITY,
        estimate(0).capacity(),
        0.01,
        "listed capacity, reduced while nothing is proven");
  }

  /**
   * Endpoint names change with each deployment: a new endpoint must not inherit the proven rate of
   * a removed one, and the stored state must not grow.
   */
  @Test
  void discardsStateOfRemovedEndpoints() {
    recordHonestClaims(0, 5);
    int estimatesBefore = credibility.estimateCapacities(now).size();
    credibility.setListedWeight(id(10), 1);
    credibility.recordOutcomes(id(10), 500, 0, 10 * SECOND, 0, now);
    for (int n = 11; n < 200; n++) {
      credibility.remove(id(n - 1));
      credibility.setListedWeight(id(n), 1);
      assertEquals(ReportCredibility.Reason.LISTED, estimate(n).reason());
      assertEquals(0.7 * CAPACITY, estimate(n).capacity(), 0.1 * CAPACITY);
    }
    assertEquals(estimatesBefore + 1, credibility.estimateCapacities(now).size());
  }

  @Test
  void returnsNoEstimateWithoutEvidenceAndRejectsInvalidValues() {
    credibility.setListedWeight(id(0), 1);
    assertTrue(credibility.estimateCapacities(now).isEmpty());
    assertEquals(
        "endpoint t0: listed weight must be above 0 and below 1.0E12, but is 0.0",
        assertThrows(IllegalArgumentException.class, () -> credibility.setListedWeight(id(0), 0))
            .getMessage());
    assertEquals(
        "endpoint t0: capacity claimed by ENDPOINT must be above 0 and below 1.0E12, but is NaN",
        assertThrows(
                IllegalArgumentException.class,
                () ->
                    credibility.recordClaim(
                        id(0), ReportCredibility.Source.ENDPOINT, Double.NaN, now))
            .getMessage());
  }
}
