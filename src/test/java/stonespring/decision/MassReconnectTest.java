package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.Settings;

/**
 * All proxies connect to one instance during a release, on the platform, where it does not know the
 * tables that they bring along.
 */
final class MassReconnectTest {
  private static final int PROXIES = 150; // their first tables just fit the channel
  private static final int RELEASED = 30; // endpoints that leave

  private final ArrayDeque<Map.Entry<Double, Event.UpdateAcknowledged>> waitingAcknowledgements =
      new ArrayDeque<>();

  private Fleet createFleet(long seed, int backlog) {
    Settings settings =
        new FleetSettings()
            .instances(2)
            .maxMessages(0)
            .bootstrapRoutes(5)
            .channel(backlog, 2_500)
            .build()
            .withPlatformConstraints();
    Fleet fleet = new Fleet(settings);
    for (int i = 0; i < 2 * RELEASED; i++) {
      fleet.endpoints.put("t" + i, Fleet.endpointRecord("t" + i, i % 2, Fleet.READY, 0));
    }
    fleet.start(seed);
    for (int i = 0; i < 3; i++) {
      fleet.connect(i, i % 2, 20, true);
    }
    for (int i = 0; i < 8; i++) {
      second(fleet, true);
    }
    assertTrue(fleet.proxies.values().stream().allMatch(p -> p.table != null));
    return fleet;
  }

  /** A second; messages are acknowledged once they pass the channel, at a third of its pace. */
  private void second(Fleet fleet, boolean acknowledged) {
    fleet.report(0.001, Map.of());
    for (int k = 0; k < 5; k++) {
      fleet.acknowledgements.forEach(
          a -> waitingAcknowledgements.add(Map.entry(fleet.sentEntries, a)));
      fleet.acknowledgements.clear();
      fleet.step(Fleet.SECOND / 5);
      while (!waitingAcknowledgements.isEmpty()
          && waitingAcknowledgements.peek().getKey() <= fleet.sentEntries - fleet.backlog) {
        Event.UpdateAcknowledged acknowledgement = waitingAcknowledgements.poll().getValue();
        if (acknowledged) {
          fleet.events.add(acknowledgement);
        }
      }
      fleet.checkInvariants("at " + fleet.now);
    }
  }

  private static void connectAll(Fleet fleet) {
    for (int i = 3; i < PROXIES; i++) {
      fleet.connect(i, i % 2, 2, false);
    }
  }

  private static void release(Fleet fleet, int from) {
    for (int i = from; i < from + RELEASED / 3; i++) {
      fleet.updateEndpoint("t" + i, i % 2, EndpointRecord.State.REMOVED, 0);
    }
  }

  /**
   * An exclusion is an entry for each endpoint at each unknown table: more than the channel takes.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void exclusionsForManyProxiesKeepTheBacklog(long seed) {
    Fleet fleet = createFleet(seed, 4_000);
    release(fleet, 0);
    second(fleet, true);
    release(fleet, RELEASED / 3);
    connectAll(fleet);
    second(fleet, true);
    release(fleet, 2 * RELEASED / 3);
    for (int i = 0; i < 40; i++) {
      second(fleet, true);
    }
    assertEquals(
        List.of(),
        fleet.proxies.values().stream().filter(p -> p.table == null).map(p -> p.number).toList());
  }

  /**
   * The proxies disconnect before they acknowledge anything: what waits for them is lost, and
   * drains go out as ever.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void disconnectedProxiesFreeTheChannel(long seed) {
    Fleet fleet = createFleet(seed, 6_000);
    connectAll(fleet);
    for (int i = 0; i < 40; i++) {
      second(fleet, true);
    }
    assertTrue(fleet.proxies.values().stream().allMatch(p -> p.table != null));
    boolean blocked = false;
    for (int from = 0; from < 2 * RELEASED - 10 && !blocked; from += RELEASED / 6) {
      for (int i = from; i < from + RELEASED / 6; i++) {
        fleet.updateEndpoint("t" + i, i % 2, EndpointRecord.State.REMOVED, 0);
        fleet.updateEndpoint("n" + i, i % 2, Fleet.READY, 0);
      }
      fleet.step(Fleet.SECOND / 10);
      blocked =
          fleet.proxies.values().stream()
              .anyMatch(p -> !fleet.endpoints.keySet().containsAll(p.shares().keySet()));
    }
    assertTrue(
        blocked,
        "nothing is acknowledged, so the channel counts as full and what left is still named");
    for (int i = 3; i < PROXIES; i++) {
      fleet.disconnect(i);
    }
    List<String> names = new ArrayList<>(fleet.shares(0).keySet());
    fleet.updateEndpoint(names.get(0), 0, EndpointRecord.State.DRAINING, 0);
    fleet.step(Fleet.SECOND / 10);
    assertFalse(fleet.shares(0).containsKey(names.get(0)), "it drains, and its route still stands");
  }
}
