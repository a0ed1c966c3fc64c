package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import stonespring.model.Command;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.LoadReport;
import stonespring.model.ProxyId;
import stonespring.model.ZoneId;

/**
 * Tests that endpoints which were removed long ago take up no memory and no channel entries, when
 * endpoints are replaced under new names for hours.
 */
final class EndpointTurnoverTest {
  private static final int READY_ENDPOINTS = 6; // at any time
  private static final int TOTAL_ENDPOINTS = 2_000;
  private static final long REPLACEMENT_INTERVAL = 20 * DeciMillis.SECOND;

  private final AssignmentEngine engine = new AssignmentEngine(new FleetSettings().build(), 3, 1);
  private final Set<String> table = new TreeSet<>();
  private long now = 1000 * DeciMillis.SECOND;

  private List<Command> handle(Event... events) {
    for (Event event : events) {
      engine.handle(now, event);
    }
    return engine.endBatch(now);
  }

  private static EndpointRecord ready(int endpoint, long startedAt) {
    return Fleet.endpointRecord("t" + endpoint, 0, EndpointRecord.State.READY, startedAt);
  }

  private static EndpointRecord removed(int endpoint) {
    return Fleet.endpointRecord("t" + endpoint, 0, EndpointRecord.State.REMOVED, 0);
  }

  private static Event.EndpointListUpdate delta(EndpointRecord... records) {
    return new Event.EndpointListUpdate(Event.ListUpdateKind.DELTA, List.of(records));
  }

  private static Event.EndpointOutcomes outcomes(int endpoint) {
    return new Event.EndpointOutcomes(
        new EndpointId("t" + endpoint),
        new ZoneId(0),
        10,
        0,
        DeciMillis.SECOND,
        500,
        LoadReport.NONE);
  }

  /** Counts the commands that exclude an endpoint, without those that allow one again. */
  private static int countExclusions(List<Command> commands) {
    return (int)
        commands.stream()
            .filter(c -> c instanceof Command.ExcludeEndpoint exclusion && exclusion.excluded())
            .count();
  }

  private void start() {
    List<EndpointRecord> endpoints = new ArrayList<>();
    for (int i = 0; i < READY_ENDPOINTS; i++) {
      endpoints.add(ready(i, 0));
    }
    handle(new Event.EndpointListUpdate(Event.ListUpdateKind.SNAPSHOT, endpoints));
    handle(new Event.ProxyConnected(new ProxyId(0), new ZoneId(0), 5, true));
  }

  /** Adds an endpoint, removes the oldest one and applies the commands to the table. */
  private void replaceOldestWith(int endpoint) {
    now += REPLACEMENT_INTERVAL / 2;
    List<Command> commands =
        new ArrayList<>(handle(delta(ready(endpoint, now - REPLACEMENT_INTERVAL / 2))));
    now += REPLACEMENT_INTERVAL / 2;
    commands.addAll(handle(delta(removed(endpoint - READY_ENDPOINTS)), outcomes(endpoint - 1)));
    for (Command command : commands) {
      if (command instanceof Command.SetRoute route && route.weight() > 0) {
        table.add(route.endpoint().name());
      } else if (command instanceof Command.SetRoute route) {
        table.remove(route.endpoint().name());
      }
    }
  }

  @Test
  void evictsEndpointsRemovedLongAgoAndReusesTheirIndexes() throws ReflectiveOperationException {
    start();
    for (int i = READY_ENDPOINTS; i < TOTAL_ENDPOINTS; i++) {
      replaceOldestWith(i);
      assertFalse(
          table.contains("t" + (i - READY_ENDPOINTS)),
          "no table has a route to an endpoint that was removed");
      assertFalse(table.isEmpty(), "the table has a route");
    }
    // A proxy with unknown tables is told to exclude recently removed endpoints only, not all that
    // were ever removed.
    List<Command> commands =
        new ArrayList<>(handle(new Event.ProxyConnected(new ProxyId(1), new ZoneId(0), 5, false)));
    now += DeciMillis.SECOND;
    commands.addAll(handle(outcomes(TOTAL_ENDPOINTS - 1)));
    int maxKept = (int) (600 * DeciMillis.SECOND / REPLACEMENT_INTERVAL) + 2 * READY_ENDPOINTS;
    assertTrue(
        countExclusions(commands) <= maxKept,
        countExclusions(commands)
            + " of "
            + TOTAL_ENDPOINTS
            + " endpoints are excluded, expected at most "
            + maxKept);
    assertTrue(
        registrySize() <= maxKept,
        registrySize()
            + " endpoint states are kept for "
            + TOTAL_ENDPOINTS
            + " endpoints, expected at most "
            + maxKept);
    // An evicted endpoint that is listed again is used like any other.
    handle(delta(ready(3, 0)));
    EndpointRecord[] remaining = new EndpointRecord[READY_ENDPOINTS];
    for (int i = 0; i < READY_ENDPOINTS; i++) {
      remaining[i] = removed(TOTAL_ENDPOINTS - 1 - i);
    }
    assertTrue(
        handle(delta(remaining)).stream()
            .anyMatch(
                c ->
                    c instanceof Command.SetRoute route
                        && route.weight() > 0
                        && route.endpoint().name().equals("t3")),
        "the only remaining endpoint is used");
  }

  /**
   * The number of endpoint states that the registry holds. It is read by reflection, as no command
   * shows it.
   */
  private int registrySize() throws ReflectiveOperationException {
    Field endpoints = AssignmentEngine.class.getDeclaredField("endpoints");
    endpoints.setAccessible(true);
    return ((EndpointRegistry) endpoints.get(engine)).size();
  }
}
