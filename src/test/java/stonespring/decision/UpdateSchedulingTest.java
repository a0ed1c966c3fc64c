package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** How changes of tables wait for headroom. */
final class UpdateSchedulingTest {
  @Test
  void movesLoadToOtherZoneThoughOneEndpointIsFull() {
    Fleet fleet = Fleet.create(20, 0);
    fleet.otherInstancesLoad.put("t0", 60.0);
    for (int p = 0; p < 20; p++) {
      fleet.connect(p, 0, 15, true);
    }
    fleet.step(1);
    fleet.rounds(6, 0.03, Map.of());
    double away = 0;
    for (int i = 1; i < 20; i += 2) {
      away += fleet.load("t" + i);
    }
    assertTrue(away > 125, "away " + away);
  }

  /** Freed headroom counts once it is acknowledged, or after two seconds. */
  @Test
  void keepsEndpointsBelowTwiceMeanLoadWhenTwoFail() {
    Fleet fleet = Fleet.create(6, 8);
    fleet.rounds(10, 0.04, Map.of());
    double mean = 80.0 / 6;
    for (int i = 0; i < 10; i++) {
      fleet.rounds(1, 0.04, Map.of("t0", 1.0, "t1", 1.0));
      for (String endpoint : fleet.endpoints.keySet()) {
        assertTrue(
            fleet.load(endpoint) < 2 * mean,
            endpoint + " took " + fleet.load(endpoint) + ", the mean is " + mean);
      }
    }
  }

  /** All proxies prefer their own zone; no endpoint may take more than its part over 0.8. */
  @Test
  void delaysMovesUntilEndpointsHaveHeadroom() {
    Fleet fleet = Fleet.create(6, 0);
    for (int p = 0; p < 8; p++) {
      fleet.connect(p, 0, 10, true);
    }
    fleet.step(1);
    for (int i = 0; i < 30; i++) {
      fleet.rounds(1, 0.02, Map.of());
      for (String endpoint : fleet.endpoints.keySet()) {
        assertTrue(
            fleet.load(endpoint) < 1.45 * 80 / 6,
            "round " + i + ": " + endpoint + " took " + fleet.load(endpoint));
      }
    }
  }

  /** In a large table one endpoint has less than the share that makes a move worth while. */
  @Test
  void movesLargeProxyOffFailingEndpoint() {
    Fleet fleet = Fleet.createWithLargeProxy(12, 8, 200, 3);
    fleet.rounds(4, 0.05, Map.of());
    String full = fleet.shares(0).firstKey();
    double before = fleet.load(full);
    for (int i = 0; i < 12; i++) {
      fleet.rounds(1, 0.05, Map.of(full, 1.0, "t" + (3 + i % 8), i % 2 * 0.6));
    }
    assertTrue(fleet.load(full) < 0.9 * before, before + " to " + fleet.load(full));
  }
}
