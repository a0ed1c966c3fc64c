package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.decision.Fleet.READY;
import static stonespring.decision.Fleet.SECOND;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import stonespring.model.Command;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.LoadReport;
import stonespring.model.ZoneId;

/**
 * Tests that a cached endpoint list that reports prove out of date takes nothing from proxies.
 * Guards against a start during an outage of discovery at which working tables were replaced by
 * tables of endpoints that no longer existed.
 */
final class OutdatedCachedListTest {
  private static final int PROXY_COUNT = 6;
  private static final int ENDPOINT_COUNT = 6;
  private static final int OUTAGE_SECONDS = 60;

  /** Starts an engine with a cached list of old endpoints; proxies hold tables of present ones. */
  private static Fleet fleetWithOldList(boolean withoutTables) {
    Fleet fleet = new Fleet(new FleetSettings().build().withPlatformConstraints());
    for (int i = 0; i < ENDPOINT_COUNT; i++) {
      fleet.endpoints.put("old" + i, Fleet.endpointRecord("old" + i, i % 2, READY, 0));
    }
    fleet.startEngine(1);
    for (int proxy = 0; proxy < PROXY_COUNT; proxy++) {
      fleet.connect(proxy, proxy % 2, 10, withoutTables);
    }
    return fleet;
  }

  private static void reportPresentEndpoints(Fleet fleet, int failuresInTen) {
    for (int i = 0; i < ENDPOINT_COUNT; i++) {
      fleet.events.add(
          new Event.UnlistedEndpointOutcomes(
              new Event.EndpointOutcomes(
                  new EndpointId("new" + i),
                  new ZoneId(i % 2),
                  10,
                  failuresInTen,
                  SECOND,
                  1000,
                  LoadReport.NONE)));
    }
  }

  /** Runs steps of a second and returns the number of tables that were assigned. */
  private static int countAssignedTables(Fleet fleet, int seconds, int failuresInTen) {
    int assigned = 0;
    for (int i = 0; i < seconds; i++) {
      reportPresentEndpoints(fleet, failuresInTen);
      fleet.step(SECOND);
      fleet.acknowledgeAll();
      assigned += fleet.commandsOf(Command.AssignRouteTable.class).size();
      assertEquals(1, fleet.lowestLimit, "admission limit");
    }
    return assigned;
  }

  @Test
  void keepsTablesWhoseEndpointsWorkUntilListArrives() {
    Fleet fleet = fleetWithOldList(false);
    assertEquals(0, countAssignedTables(fleet, OUTAGE_SECONDS, 0));
    List<EndpointRecord> present = new ArrayList<>();
    fleet.endpoints.clear();
    for (int i = 0; i < ENDPOINT_COUNT; i++) {
      fleet.endpoints.put("new" + i, Fleet.endpointRecord("new" + i, i % 2, READY, 0));
      present.add(fleet.endpoints.get("new" + i));
    }
    fleet.events.add(new Event.EndpointListUpdate(Event.ListUpdateKind.SNAPSHOT, present));
    long limit = fleet.settings.routing().maxTimeWithoutEndpoint();
    for (long end = fleet.now + limit; fleet.now < end; ) {
      fleet.step(SECOND / 10);
    }
    for (FleetProxy proxy : fleet.proxies.values()) {
      assertFalse(proxy.shares().isEmpty(), "proxy " + proxy.number);
      proxy.shares().keySet().forEach(name -> assertTrue(name.startsWith("new"), name));
    }
  }

  /** A cached list is all there is to go by if the endpoints of the tables fail. */
  @Test
  void replacesTablesWhoseEndpointsFail() {
    assertEquals(PROXY_COUNT, countAssignedTables(fleetWithOldList(false), 10, 10));
    assertEquals(PROXY_COUNT, countAssignedTables(fleetWithOldList(false), 10, 6));
  }

  /** Without reports, nothing shows that the tables work. */
  @Test
  void replacesTablesOnceReportsEnd() {
    Fleet fleet = fleetWithOldList(false);
    assertEquals(0, countAssignedTables(fleet, 10, 0));
    assertEquals(PROXY_COUNT, countAssignedTables(fleet, 15, 10));
  }
}
