package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static stonespring.decision.Fleet.READY;
import static stonespring.decision.Fleet.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.EndpointRecord;

/** Runs seeded random sequences of events, and checks the invariants after every step. */
final class EngineInvariantsTest {
  private SplittableRandom random;
  private Fleet fleet;
  private final TreeMap<String, Double> failureShares = new TreeMap<>();
  private int endpointCount;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void invariantsHoldInRandomRuns(long seed) {
    random = new SplittableRandom(seed);
    AdmissionLimitKind limitKind = AdmissionLimitKind.values()[random.nextInt(2)];
    fleet =
        new Fleet(
            new FleetSettings()
                .instances(1 + random.nextInt(2))
                .limitKind(limitKind)
                .maxMessages(random.nextInt(2) * 30)
                .bootstrapRoutes(2 + random.nextInt(5))
                .removedKeepServing(seed % 4 == 0)
                .build());
    endpointCount = 4 + random.nextInt(8);
    for (int i = 0; i < endpointCount; i++) {
      fleet.endpoints.put("t" + i, Fleet.endpointRecord("t" + i, random.nextInt(2), READY, 0));
    }
    fleet.startEngine(seed);
    for (int step = 0; step < 1500; step++) {
      int action = random.nextInt(100);
      List<String> names = new ArrayList<>(fleet.endpoints.keySet());
      String name = names.isEmpty() ? null : names.get(random.nextInt(names.size()));
      int proxy = random.nextInt(8);
      if (action < 8) {
        connectOrDisconnect(proxy, action < 3);
      } else if (action >= 18 || !changeEndpointList(action, name)) {
        applyOtherChange(action, seed + step);
      }
      // Occasionally the process pauses, and all events since then arrive in one batch.
      fleet.step(random.nextInt(50) == 0 ? 2 * SECOND : random.nextInt(6000));
      fleet.checkInvariants("seed " + seed + ", step " + step);
    }
  }

  /**
   * Drains, removes, restarts or adds an endpoint.
   *
   * @return whether the list changed
   */
  private boolean changeEndpointList(int action, String name) {
    int listed = fleet.endpoints.size();
    if (name != null) {
      EndpointRecord endpoint = fleet.endpoints.get(name);
      int zone = endpoint.zone().index();
      if (action < 11 && listed > 2) {
        fleet.updateEndpoint(name, zone, EndpointRecord.State.DRAINING, endpoint.startedAt());
        return true;
      }
      if (action < 13 && listed > 2) {
        fleet.updateEndpoint(name, zone, EndpointRecord.State.REMOVED, 0);
        return true;
      }
      if (action < 15) {
        fleet.updateEndpoint(name, zone, READY, fleet.now);
        return true;
      }
    }
    if (listed >= 14) {
      return false;
    }
    fleet.updateEndpoint(
        "t" + endpointCount++, random.nextInt(2), READY, fleet.now - random.nextInt(30_000));
    return true;
  }

  /**
   * Changes a failure share, restarts the engine, acknowledges all messages, adds reports, or does
   * nothing.
   */
  private void applyOtherChange(int action, long restartSeed) {
    if (action < 19) {
      failureShares.put("t" + random.nextInt(endpointCount), random.nextInt(3) / 2.0);
    } else if (action == 20 && random.nextInt(4) == 0) {
      fleet.restartEngine(restartSeed);
    } else if (action < 40 && random.nextInt(3) > 0) {
      fleet.acknowledgeAll();
    } else if (action < 70) {
      fleet.report(0.02 + random.nextDouble() / 10, failureShares);
    }
  }

  private void connectOrDisconnect(int number, boolean mayDisconnect) {
    FleetProxy proxy = fleet.proxies.get(number);
    if (proxy == null || !proxy.connected) {
      fleet.connect(
          number,
          random.nextInt(2),
          1 + random.nextInt(20),
          proxy == null || random.nextInt(2) == 0);
    } else if (mayDisconnect) {
      fleet.disconnect(number);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void invariantsHoldInALargeFleet(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Fleet fleet = new Fleet(new FleetSettings().bootstrapRoutes(8).channel(12_000, 8000).build());
    for (int i = 0; i < 400; i++) {
      fleet.endpoints.put("t" + i, Fleet.endpointRecord("t" + i, i % 2, READY, 0));
    }
    fleet.startEngine(seed);
    for (int p = 0; p < 400; p++) {
      fleet.connect(p, p % 2, 1 + random.nextInt(20), true);
    }
    for (int step = 0; step < 120; step++) {
      int batch = step % 12 == 5 ? 40 : 0; // a rolling release replaces 40 endpoints
      for (int i = 0; i < batch; i++) {
        int drained = step / 12 * 40 + i;
        fleet.updateEndpoint("t" + drained, drained % 2, EndpointRecord.State.DRAINING, 0);
        fleet.updateEndpoint("n" + drained, drained % 2, READY, fleet.now);
      }
      int proxy = random.nextInt(400);
      if (step % 5 == 2 && fleet.proxies.get(proxy).connected) {
        fleet.disconnect(proxy);
      } else if (!fleet.proxies.get(proxy).connected) {
        fleet.connect(proxy, proxy % 2, 1, random.nextBoolean());
      }
      if (step == 70) {
        fleet.restartEngine(seed);
      }
      fleet.report(0.05, Map.of("t399", 1.0));
      fleet.step(SECOND / 2);
      fleet.acknowledgeAll();
      fleet.checkInvariants("step " + step);
    }
  }

  @Test
  void equalEventsGiveEqualCommands() {
    Fleet first = Fleet.create(8, 6);
    Fleet second = Fleet.create(8, 6);
    for (int i = 0; i < 20; i++) {
      for (Fleet fleet : List.of(first, second)) {
        fleet.report(0.03, Map.of("t1", 0.5));
        if (fleet.endpoints.size() == 8) {
          fleet.updateEndpoint("new", 0, READY, fleet.now);
        }
        fleet.step(SECOND);
      }
      assertEquals(
          first.commands,
          second.commands,
          "round " + i + ": equal events must give equal commands");
    }
  }
}
