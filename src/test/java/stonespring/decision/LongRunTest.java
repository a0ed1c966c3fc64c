package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.Command;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.ProxyId;
import stonespring.model.ZoneId;

/**
 * Days on which tasks are replaced under new ids again and again: what left long ago costs nothing
 * any more.
 */
final class LongRunTest {
  private static final int TASKS = 6; // at a time
  private static final int REPLACED = 2_000;
  private static final long EVERY = 20 * DeciMillis.SECOND; // 0.1 ms between two replacements

  private final AssignmentEngine assigner =
      new AssignmentEngine(Fleet.settings(1, AdmissionLimitKind.FRACTION, 30, 4), 3, 1);
  private long now = 1000 * DeciMillis.SECOND;

  private List<Command> tell(Event... events) {
    for (Event event : events) {
      assigner.handle(now, event);
    }
    return assigner.endBatch(now);
  }

  private static Event.EndpointListUpdate changes(EndpointRecord... entries) {
    return new Event.EndpointListUpdate(Event.ListUpdateKind.DELTA, List.of(entries));
  }

  private static Event.EndpointOutcomes sums(String task) {
    return new Event.EndpointOutcomes(
        new EndpointId(task),
        new ZoneId(0),
        10,
        0,
        DeciMillis.SECOND,
        500,
        stonespring.model.LoadReport.NONE);
  }

  private static int withdrawn(List<Command> orders) {
    return (int)
        orders.stream().filter(o -> o instanceof Command.ExcludeEndpoint w && w.excluded()).count();
  }

  @Test
  void tasksLongGoneAreForgottenAndTheirPlacesServeOthers() throws ReflectiveOperationException {
    List<EndpointRecord> first = new ArrayList<>();
    for (int i = 0; i < TASKS; i++) {
      first.add(Fleet.listing("t" + i, 0, EndpointRecord.State.READY, 0));
    }
    tell(new Event.EndpointListUpdate(Event.ListUpdateKind.SNAPSHOT, first));
    tell(new Event.ProxyConnected(new ProxyId(0), new ZoneId(0), 5, true));
    Set<String> table = new TreeSet<>();
    for (int i = TASKS; i < REPLACED; i++) {
      now += EVERY / 2;
      List<Command> orders =
          new ArrayList<>(
              tell(
                  changes(Fleet.listing("t" + i, 0, EndpointRecord.State.READY, now - EVERY / 2))));
      now += EVERY / 2;
      orders.addAll(
          tell(
              changes(Fleet.listing("t" + (i - TASKS), 0, EndpointRecord.State.REMOVED, 0)),
              sums("t" + (i - 1))));
      for (Command order : orders) {
        if (order instanceof Command.SetRoute line && line.weight() > 0) {
          table.add(line.endpoint().name());
        } else if (order instanceof Command.SetRoute line) {
          table.remove(line.endpoint().name());
        }
      }
      assertFalse(table.contains("t" + (i - TASKS)), "what left is named by no table");
      assertFalse(table.isEmpty());
    }
    // One that comes with tables of others may be told of what left lately, never of all that ever
    // did.
    List<Command> told =
        new ArrayList<>(tell(new Event.ProxyConnected(new ProxyId(1), new ZoneId(0), 5, false)));
    now += DeciMillis.SECOND;
    told.addAll(tell(sums("t" + (REPLACED - 1))));
    int most = (int) (600 * DeciMillis.SECOND / EVERY) + 2 * TASKS;
    assertTrue(
        withdrawn(told) <= most, withdrawn(told) + " of " + REPLACED + " are told to have left");
    assertTrue(places() <= most, places() + " places for " + REPLACED + " tasks");
    // A name that comes again after all is a task like any other.
    tell(changes(Fleet.listing("t3", 0, EndpointRecord.State.READY, 0)));
    EndpointRecord[] rest = new EndpointRecord[TASKS];
    for (int i = 0; i < TASKS; i++) {
      rest[i] = Fleet.listing("t" + (REPLACED - 1 - i), 0, EndpointRecord.State.REMOVED, 0);
    }
    assertTrue(
        tell(changes(rest)).stream()
            .anyMatch(
                o ->
                    o instanceof Command.SetRoute line
                        && line.weight() > 0
                        && line.endpoint().name().equals("t3")),
        "the only one left takes all lines");
  }

  /** How many endpoints the registry has places for: no command shows what is merely kept. */
  private int places() throws ReflectiveOperationException {
    java.lang.reflect.Field endpoints = AssignmentEngine.class.getDeclaredField("endpoints");
    endpoints.setAccessible(true);
    return ((EndpointRegistry) endpoints.get(assigner)).size();
  }
}
