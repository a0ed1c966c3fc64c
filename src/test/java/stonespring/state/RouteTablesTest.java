package stonespring.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static stonespring.state.StateFixture.ENDPOINT_A;
import static stonespring.state.StateFixture.ENDPOINT_B;
import static stonespring.state.StateFixture.OTHER_PROXY;
import static stonespring.state.StateFixture.PROXY;
import static stonespring.state.StateFixture.TABLE;
import static stonespring.state.StateFixture.keys;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import stonespring.model.AckId;
import stonespring.model.Command;
import stonespring.model.RetryPolicy;

final class RouteTablesTest {
  private final RouteTables tables = new RouteTables(StateFixture.REQUEST_CLASSES.size());

  private static Map<String, String> checkEntriesAndReadKeys(ProxyUpdate update, int entries) {
    assertEquals(entries, update.entries());
    return keys(update);
  }

  @Test
  void buildsUpdatesOnlyForConcernedProxiesAndCountsTheirEntries() {
    tables.addProxy(PROXY, Optional.of(List.of(ENDPOINT_A)));
    tables.addProxy(OTHER_PROXY, Optional.of(List.of()));
    List<ProxyUpdate> first =
        tables.apply(
            List.of(
                new Command.LimitAdmission(Command.ALL_TABLES, 0, RetryPolicy.IF_NOT_EXECUTED, 1),
                new Command.ExcludeEndpoint(ENDPOINT_A, true),
                new Command.SetRoute(TABLE, ENDPOINT_A, 0.25),
                new Command.SetRoute(TABLE, ENDPOINT_B, 0.75),
                new Command.AssignRouteTable(TABLE, PROXY, 0),
                new Command.RequestAck(new AckId(3), false)),
            5);
    assertEquals(2, first.size());
    assertEquals(
        Map.of(
            "out/a@h:1",
            "1",
            "bind/view",
            "7",
            "bind/extract",
            "7",
            "line/7/a@h:1",
            "0.25",
            "line/7/b@h:2",
            "0.75",
            "level/every/view",
            "1 on_proof",
            "level/every/extract",
            "1 on_proof"),
        checkEntriesAndReadKeys(first.get(0), 7));
    assertEquals(
        Map.of("level/every/view", "1 on_proof", "level/every/extract", "1 on_proof"),
        checkEntriesAndReadKeys(first.get(1), 2));
    List<ProxyUpdate> second =
        tables.apply(
            List.of(
                new Command.SetRoute(TABLE, ENDPOINT_A, 0),
                new Command.SetRoute(TABLE, ENDPOINT_B, 1)),
            6);
    assertEquals(1, second.size(), "a proxy that does not use the table must get no update");
    Map<String, String> changes = checkEntriesAndReadKeys(second.get(0), 2);
    assertTrue(changes.containsKey("line/7/a@h:1") && changes.get("line/7/a@h:1") == null);
    tables.removeProxy(PROXY);
    assertEquals(
        List.of(),
        tables.apply(
            List.of(
                new Command.SetRoute(TABLE, ENDPOINT_A, 1),
                new Command.AssignRouteTable(TABLE, PROXY, 0)),
            7));
  }

  @Test
  void firstUpdateOfALateProxyHoldsEarlierLimitsAndItsTablesExclusions() {
    tables.apply(
        List.of(
            new Command.LimitAdmission(Command.ALL_TABLES, 1, RetryPolicy.NEVER, 0.5),
            new Command.ExcludeEndpoint(ENDPOINT_B, true),
            new Command.SetRoute(TABLE, ENDPOINT_B, 1)),
        1);
    tables.addProxy(PROXY, Optional.empty());
    List<ProxyUpdate> updates =
        tables.apply(List.of(new Command.AssignRouteTable(TABLE, PROXY, 0)), 2);
    assertEquals(
        Map.of(
            "bind/view",
            "7",
            "bind/extract",
            "7",
            "line/7/b@h:2",
            "1",
            "out/b@h:2",
            "1",
            "level/every/view",
            "0.5 never"),
        keys(updates.get(0)));
  }

  @Test
  void buildsNoUpdateWhenAnEmptyTableIsCleared() {
    tables.addProxy(PROXY, Optional.empty());
    tables.apply(List.of(new Command.AssignRouteTable(TABLE, PROXY, 0)), 1);
    assertEquals(List.of(), tables.apply(List.of(new Command.ClearRouteTable(TABLE)), 2));
  }
}
