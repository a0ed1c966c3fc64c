package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.decision.Fleet.READY;
import static stonespring.decision.Fleet.SECOND;

import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import stonespring.model.EndpointRecord;

/**
 * Tests that an endpoint that comes back can be used again. Guards against exclusions that outlive
 * the engine's memory of an endpoint: proxies then held tables whose endpoints they never used.
 */
final class ReturningEndpointTest {
  private static final double COST = 0.03;
  private static final int ENDPOINT_COUNT = 10;
  private static final int PROXY_COUNT = 6;
  private static final int SEED_COUNT = 8;
  private static final int STEP_COUNT = 8;

  /** Longer than the engine remembers a removed endpoint. */
  private static final int LONG_ABSENCE_SECONDS = 660;

  private static Fleet fleet(boolean platform) {
    FleetSettings settings = new FleetSettings();
    Fleet fleet =
        Fleet.create(
            platform ? settings.build().withPlatformConstraints() : settings.build(),
            ENDPOINT_COUNT,
            PROXY_COUNT);
    fleet.runRounds(5, COST, Map.of());
    return fleet;
  }

  private static void setZone(Fleet fleet, int zone, EndpointRecord.State state) {
    for (int i = zone; i < ENDPOINT_COUNT; i += 2) {
      fleet.updateEndpoint("t" + i, zone, state, state == READY ? fleet.now : 0);
    }
  }

  private static void assertTablesCanBeUsed(Fleet fleet, String when) {
    for (FleetProxy proxy : fleet.proxies.values()) {
      assertTrue(!proxy.table.isEmpty(), when + ": proxy " + proxy.number + " has no table");
      assertEquals(proxy.table.keySet(), proxy.usableEndpoints(), when + ": proxy " + proxy.number);
    }
  }

  /** The engine excludes the endpoints of a zone, forgets them, and they return. */
  @Test
  void allowsEndpointsThatReturnAfterLongAbsence() {
    for (boolean platform : new boolean[] {false, true}) {
      Fleet fleet = fleet(platform);
      setZone(fleet, 0, EndpointRecord.State.DRAINING);
      fleet.step(SECOND);
      fleet.restartEngine(2);
      fleet.runRounds(2, COST, Map.of());
      setZone(fleet, 0, EndpointRecord.State.REMOVED);
      fleet.runRounds(LONG_ABSENCE_SECONDS, COST, Map.of());
      setZone(fleet, 0, READY);
      fleet.runRounds(60, COST, Map.of());
      setZone(fleet, 1, EndpointRecord.State.DRAINING);
      fleet.runRounds(10, COST, Map.of());
      assertTablesCanBeUsed(fleet, "platform " + platform);
    }
  }

  /** Crosses exclusions, restarts of the engine and absences of any length in random order. */
  @Test
  void everyRoutedEndpointCanBeUsedInRandomSequences() {
    for (long seed = 1; seed <= SEED_COUNT; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      Fleet fleet = fleet(random.nextBoolean());
      for (int step = 0; step < STEP_COUNT; step++) {
        int zone = random.nextInt(2);
        setZone(fleet, zone, EndpointRecord.State.DRAINING);
        fleet.step(SECOND);
        if (random.nextBoolean()) {
          fleet.restartEngine(random.nextLong());
        }
        fleet.runRounds(4, COST, Map.of());
        setZone(fleet, zone, EndpointRecord.State.REMOVED);
        fleet.runRounds(random.nextBoolean() ? LONG_ABSENCE_SECONDS : 10, COST, Map.of());
        setZone(fleet, zone, READY);
        fleet.runRounds(60, COST, Map.of());
        assertTablesCanBeUsed(fleet, "seed " + seed + ", step " + step);
      }
    }
  }
}
