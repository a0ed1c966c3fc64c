package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;

/** Tests the routes of one table, which are applied, planned, or both. */
final class RouteTableTest {
  private final RouteTable table = new RouteTable();

  private static EndpointState createReady(int index) {
    EndpointStatistics statistics = new EndpointStatistics(new LatencyModel(List.of()), 2);
    EndpointState endpoint = new EndpointState(index, statistics);
    endpoint.resetFor(new EndpointId("e" + index), 0);
    endpoint.markReady(0);
    return endpoint;
  }

  @Test
  void plannedRouteIsNotAppliedUntilItHasWeight() {
    EndpointState endpoint = createReady(0);
    Route route = table.setTarget(endpoint, 0.5);
    assertFalse(table.hasAppliedRouteTo(endpoint));
    assertTrue(table.isBroken(), "no route is applied");
    route.setWeight(0.5);
    assertTrue(table.hasAppliedRouteTo(endpoint));
    assertFalse(table.isBroken());
    assertSame(route, table.setTarget(endpoint, 0.7), "a table has one route per endpoint");
  }

  @Test
  void tableWithRouteToUnavailableEndpointIsBroken() {
    EndpointState leaving = createReady(0);
    table.setTarget(createReady(1), 0.5).setWeight(0.5);
    table.setTarget(leaving, 0.5).setWeight(0.5);
    assertFalse(table.isBroken());
    leaving.markOutOfService(EndpointRecord.State.DRAINING, 1);
    assertTrue(table.isBroken());
  }

  @Test
  void scalesTargetsToSumOfOne() {
    Route first = table.setTarget(createReady(0), 3);
    Route second = table.setTarget(createReady(1), 1);
    table.normalizeTargets();
    assertEquals(0.75, first.target());
    assertEquals(0.25, second.target());
  }

  @Test
  void removesRoutesThatWereNeverApplied() {
    table.setTarget(createReady(0), 1);
    table.setTarget(createReady(1), 1).setWeight(1);
    table.removeUnapplied();
    assertEquals(1, table.routes().size());
  }

  @Test
  void ignoresWeightDifferencesWithinTolerance() {
    assertFalse(Route.differsSignificantly(0.5, 0.52));
    assertTrue(Route.differsSignificantly(0.5, 0.54));
    assertTrue(
        Route.differsSignificantly(0, 0.001), "adding or removing a route is always significant");
  }
}
