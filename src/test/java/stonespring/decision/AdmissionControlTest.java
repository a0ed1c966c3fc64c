package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.decision.Fleet.SECOND;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import stonespring.model.EndpointRecord;
import stonespring.model.RetryPolicy;

/** Tests when admission limits are lowered, and for which request classes. */
final class AdmissionControlTest {
  /**
   * Half of the proxies disconnect with their zone, and the endpoint list does not show yet which
   * endpoints are lost. The requests of these proxies must not count as spare capacity at once.
   */
  @Test
  void keepsLimitLowRightAfterProxiesDisconnect() {
    Fleet fleet = Fleet.create(8, 8);
    Map<String, Double> failureShares = new TreeMap<>();
    fleet.endpoints.keySet().forEach(name -> failureShares.put(name, 0.7));
    fleet.runRounds(8, 0.1, failureShares);
    double before = fleet.meanLimit();
    assertTrue(before < 0.6, "mean limit under overload: expected less than 0.6, found " + before);
    for (int p = 0; p < 8; p += 2) {
      fleet.disconnect(p);
    }
    for (int round = 0; round < 6; round++) {
      fleet.runRounds(1, 0.1, failureShares);
      assertTrue(
          fleet.meanLimit() < 1.3 * before,
          "round " + round + ": mean limit rose from " + before + " to " + fleet.meanLimit());
    }
    fleet.runRounds(15, 0.03, Map.of());
    assertEquals(
        1, fleet.meanLimit(), 1e-9, "mean limit once requests of lost proxies no longer count");
  }

  @Test
  void admitsAllRequestsWhileEndpointsHaveCapacity() {
    Fleet fleet = Fleet.create(8, 8);
    fleet.runRounds(20, 0.05, Map.of());
    assertEquals(1, fleet.lowestLimit);
    assertEquals(RetryPolicy.IF_NOT_EXECUTED, fleet.retryPolicies.get(0));
  }

  @Test
  void limitsRequestsUnderOverloadAndAdmitsAllAfterwards() {
    Fleet fleet = Fleet.create(8, 8);
    fleet.runRounds(5, 0.05, Map.of());
    fleet.runRounds(60, 0.2, Map.of());
    assertTrue(
        fleet.lowestLimit < 0.95,
        "lowest limit under overload: expected less than 0.95, found " + fleet.lowestLimit);
    assertEquals(RetryPolicy.NEVER, fleet.retryPolicies.get(0), "retry policy under overload");
    assertTrue(
        fleet.limits[0] >= fleet.limits[1] && fleet.limits[1] > fleet.limits[2],
        "classes with the least value for their work must be limited most: "
            + Arrays.toString(fleet.limits));
    assertTrue(
        fleet.limits[2] > 0.2,
        "limit of the most limited class: expected more than 0.2, found " + fleet.limits[2]);
    fleet.runRounds(30, 0.03, Map.of());
    assertEquals(1, fleet.lowestLimit);
  }

  /** Reported utilization may stay the same while endpoints slow down. */
  @Test
  void limitsRequestsWhenAttemptsFailOrAreLateDespiteLowUtilization() {
    for (boolean late : List.of(false, true)) {
      Fleet fleet = Fleet.create(8, 8);
      fleet.runRounds(12, 0.07, Map.of());
      assertEquals(1, fleet.lowestLimit);
      Map<String, Double> failureShares = new TreeMap<>();
      fleet.endpoints.keySet().forEach(name -> failureShares.put(name, late ? 0 : 0.5));
      fleet.successLatency = late ? 2 * SECOND : fleet.successLatency;
      fleet.runRounds(12, 0.03, failureShares);
      assertTrue(
          fleet.lowestLimit < 0.9,
          "lowest limit: expected less than 0.9, found "
              + fleet.lowestLimit
              + "; late answers: "
              + late);
      fleet.successLatency = 1000;
      fleet.runRounds(30, 0.03, Map.of());
      assertEquals(1, fleet.lowestLimit);
    }
  }

  @Test
  void lowersLimitWhenEndpointsDrainBeforeReportsArrive() {
    Fleet fleet = Fleet.create(8, 8);
    fleet.runRounds(12, 0.07, Map.of());
    for (int i = 0; i < 4; i++) {
      fleet.updateEndpoint("t" + i, i % 2, EndpointRecord.State.DRAINING, 0);
    }
    fleet.step(10);
    assertTrue(
        fleet.lowestLimit < 0.9 && fleet.retryPolicies.get(0) == RetryPolicy.NEVER,
        "expected a lowest limit of less than 0.9 and retry policy NEVER for class 0, found limit "
            + fleet.lowestLimit
            + ", retry policies "
            + fleet.retryPolicies);
  }

  @Test
  void lowersLimitOnFirstReportsOfSurge() {
    Fleet fleet = Fleet.create(8, 8);
    fleet.runRounds(12, 0.08, Map.of());
    fleet.trafficFactor = 3;
    fleet.reportSpan = SECOND;
    fleet.runRounds(1, 0.08, Map.of());
    double limit = fleet.meanLimit();
    assertTrue(
        limit < 0.5, "mean limit after the first reports: expected less than 0.5, found " + limit);
  }

  /** While endpoints report spare capacity, failures may have another cause than overload. */
  @Test
  void limitsLessWhenFailingEndpointsAreIdle() {
    Map<String, Double> failureShares = new TreeMap<>();
    double[] lowestLimits = {1, 1};
    for (int busy = 0; busy < 2; busy++) {
      Fleet fleet = Fleet.create(8, 8);
      fleet.runRounds(12, 0.07, Map.of());
      fleet.endpoints.keySet().forEach(name -> failureShares.put(name, 0.5));
      for (int i = 0; i < 12; i++) {
        fleet.runRounds(1, busy == 1 ? 0.2 : 0.05, failureShares);
        lowestLimits[busy] = Math.min(lowestLimits[busy], fleet.meanLimit());
      }
    }
    assertTrue(
        lowestLimits[0] > 1.15 * lowestLimits[1],
        "lowest mean limit: expected more than 1.15 times the limit of busy endpoints for idle ones, found "
            + lowestLimits[0]
            + " idle, "
            + lowestLimits[1]
            + " busy");
  }

  @Test
  void admitsAllRequestsWhenFewEndpointsFail() {
    Fleet fleet = Fleet.create(8, 8);
    fleet.runRounds(12, 0.05, Map.of());
    fleet.runRounds(12, 0.05, Map.of("t0", 1.0, "t1", 1.0, "t2", 1.0));
    assertEquals(1, fleet.lowestLimit);
  }

  @Test
  void limitsRequestClassesWhenOneHasNoTraffic() {
    Fleet fleet = Fleet.create(8, 8);
    fleet.reportedClasses = 2;
    fleet.runRounds(5, 0.05, Map.of());
    fleet.runRounds(60, 0.2, Map.of());
    assertTrue(
        fleet.limits[0] > 0 && fleet.limits[2] > 0 && fleet.limits[1] < 1,
        "expected limits above 0 for classes 0 and 2, and below 1 for class 1; limits by class: "
            + Arrays.toString(fleet.limits));
  }
}
