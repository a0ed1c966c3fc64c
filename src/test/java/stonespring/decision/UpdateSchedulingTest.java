package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests that changes of tables wait until endpoints have headroom for them. */
final class UpdateSchedulingTest {
  @Test
  void movesLoadToOtherZoneThoughOneEndpointIsFull() {
    Fleet fleet = Fleet.create(20, 0);
    fleet.otherInstancesLoad.put("t0", 60.0);
    for (int p = 0; p < 20; p++) {
      fleet.connect(p, 0, 15, true);
    }
    fleet.step(1);
    fleet.runRounds(6, 0.03, Map.of());
    double otherZoneRate = 0;
    for (int i = 1; i < 20; i += 2) {
      otherZoneRate += fleet.load("t" + i);
    }
    assertTrue(
        otherZoneRate > 125,
        "requests per second to the other zone: expected more than 125, found " + otherZoneRate);
  }

  /**
   * Headroom that a move frees counts once the move is acknowledged, or after two seconds; until
   * then other moves must not use it.
   */
  @Test
  void keepsEndpointsBelowTwiceMeanLoadWhenTwoFail() {
    Fleet fleet = Fleet.create(6, 8);
    fleet.runRounds(10, 0.04, Map.of());
    double mean = 80.0 / 6;
    for (int i = 0; i < 10; i++) {
      fleet.runRounds(1, 0.04, Map.of("t0", 1.0, "t1", 1.0));
      for (String endpoint : fleet.endpoints.keySet()) {
        assertTrue(
            fleet.load(endpoint) < 2 * mean,
            "load of "
                + endpoint
                + ": expected less than twice the mean "
                + mean
                + ", found "
                + fleet.load(endpoint));
      }
    }
  }

  /**
   * All proxies prefer their own zone. No endpoint may take more than the mean load divided by 0.8.
   */
  @Test
  void delaysMovesUntilEndpointsHaveHeadroom() {
    Fleet fleet = Fleet.create(6, 0);
    for (int p = 0; p < 8; p++) {
      fleet.connect(p, 0, 10, true);
    }
    fleet.step(1);
    for (int i = 0; i < 30; i++) {
      fleet.runRounds(1, 0.02, Map.of());
      for (String endpoint : fleet.endpoints.keySet()) {
        assertTrue(
            fleet.load(endpoint) < 1.45 * 80 / 6,
            "round "
                + i
                + ": load of "
                + endpoint
                + ": expected less than "
                + 1.45 * 80 / 6
                + ", found "
                + fleet.load(endpoint));
      }
    }
  }

  /**
   * In a large table, one endpoint has less than the share of requests that makes a change worth
   * sending.
   */
  @Test
  void movesLargeProxyOffFailingEndpoint() {
    Fleet fleet = Fleet.createWithLargeProxy(12, 8, 200, 3);
    fleet.runRounds(4, 0.05, Map.of());
    String failingEndpoint = fleet.shares(0).firstKey();
    double before = fleet.load(failingEndpoint);
    for (int i = 0; i < 12; i++) {
      fleet.runRounds(1, 0.05, Map.of(failingEndpoint, 1.0, "t" + (3 + i % 8), i % 2 * 0.6));
    }
    assertTrue(
        fleet.load(failingEndpoint) < 0.9 * before,
        "load of the failing endpoint: expected less than 0.9 times "
            + before
            + ", found "
            + fleet.load(failingEndpoint));
  }
}
