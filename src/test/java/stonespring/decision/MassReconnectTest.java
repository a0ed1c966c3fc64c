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
 * Tests that all proxies can connect to one instance during a release. The settings are those of
 * the platform, where the instance does not know the tables that connecting proxies hold.
 */
final class MassReconnectTest {
  /** The channel's backlog limit just admits the first tables of this many proxies. */
  private static final int PROXY_COUNT = 150;

  private static final int REMOVED_ENDPOINTS = 30; // endpoints that the release removes

  /** Acknowledgements by the number of sent entries up to the acknowledged message. */
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
    for (int i = 0; i < 2 * REMOVED_ENDPOINTS; i++) {
      fleet.endpoints.put("t" + i, Fleet.endpointRecord("t" + i, i % 2, Fleet.READY, 0));
    }
    fleet.startEngine(seed);
    for (int i = 0; i < 3; i++) {
      fleet.connect(i, i % 2, 20, true);
    }
    for (int i = 0; i < 8; i++) {
      runSecond(fleet, true);
    }
    assertTrue(fleet.proxies.values().stream().allMatch(p -> p.table != null));
    return fleet;
  }

  /**
   * Runs the fleet for a second. Messages are acknowledged once they have passed the channel, which
   * passes a third of the configured entries per second.
   *
   * @param acknowledged whether acknowledgements reach the engine
   */
  private void runSecond(Fleet fleet, boolean acknowledged) {
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
    for (int i = 3; i < PROXY_COUNT; i++) {
      fleet.connect(i, i % 2, 2, false);
    }
  }

  private static void removeEndpoints(Fleet fleet, int from) {
    for (int i = from; i < from + REMOVED_ENDPOINTS / 3; i++) {
      fleet.updateEndpoint("t" + i, i % 2, EndpointRecord.State.REMOVED, 0);
    }
  }

  /**
   * An exclusion costs an entry per endpoint and proxy with an unknown table. All of them together
   * exceed the channel's backlog limit, which must hold nevertheless.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void exclusionsForManyProxiesStayWithinBacklogLimit(long seed) {
    Fleet fleet = createFleet(seed, 4_000);
    removeEndpoints(fleet, 0);
    runSecond(fleet, true);
    removeEndpoints(fleet, REMOVED_ENDPOINTS / 3);
    connectAll(fleet);
    runSecond(fleet, true);
    removeEndpoints(fleet, 2 * REMOVED_ENDPOINTS / 3);
    for (int i = 0; i < 40; i++) {
      runSecond(fleet, true);
    }
    assertEquals(
        List.of(),
        fleet.proxies.values().stream().filter(p -> p.table == null).map(p -> p.number).toList(),
        "proxies without an assigned table");
  }

  /**
   * The proxies disconnect before they acknowledge the last messages. Entries that wait for them no
   * longer count, so that a drain is sent to the other proxies at once.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void disconnectedProxiesReleaseChannelBacklog(long seed) {
    Fleet fleet = createFleet(seed, 6_000);
    connectAll(fleet);
    for (int i = 0; i < 40; i++) {
      runSecond(fleet, true);
    }
    assertTrue(fleet.proxies.values().stream().allMatch(p -> p.table != null));
    boolean blocked = false;
    for (int from = 0;
        from < 2 * REMOVED_ENDPOINTS - 10 && !blocked;
        from += REMOVED_ENDPOINTS / 6) {
      for (int i = from; i < from + REMOVED_ENDPOINTS / 6; i++) {
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
        "without acknowledgements the channel counts as full, so routes to removed endpoints remain");
    for (int i = 3; i < PROXY_COUNT; i++) {
      fleet.disconnect(i);
    }
    List<String> names = new ArrayList<>(fleet.shares(0).keySet());
    fleet.updateEndpoint(names.get(0), 0, EndpointRecord.State.DRAINING, 0);
    fleet.step(Fleet.SECOND / 10);
    assertFalse(
        fleet.shares(0).containsKey(names.get(0)),
        "the route to a draining endpoint is removed at once");
  }
}
