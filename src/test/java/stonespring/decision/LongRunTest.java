package stonespring.decision;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import stonespring.model.Event;
import stonespring.model.Listing;
import stonespring.model.Order;
import stonespring.model.ProxyId;
import stonespring.model.TaskId;
import stonespring.model.Tenths;
import stonespring.model.ZoneId;

/**
 * Days on which tasks are replaced under new ids again and again: what left long ago costs nothing
 * any more.
 */
final class LongRunTest {
  private static final int TASKS = 6; // at a time
  private static final int REPLACED = 2_000;
  private static final long EVERY = 20 * Tenths.SECOND; // 0.1 ms between two replacements

  private final Assigner assigner =
      new Assigner(Fleet.settings(1, stonespring.model.Settings.LevelKind.SHARE, 30, 4), 3, 1);
  private long now = 1000 * Tenths.SECOND;

  private List<Order> tell(Event... events) {
    for (Event event : events) {
      assigner.take(now, event);
    }
    return assigner.finish(now);
  }

  private static Event.ListTold changes(Listing... entries) {
    return new Event.ListTold(Event.ListKind.CHANGES, List.of(entries));
  }

  private static Event.TaskSums sums(String task) {
    return new Event.TaskSums(
        new TaskId(task),
        new ZoneId(0),
        10,
        0,
        Tenths.SECOND,
        500,
        stonespring.model.LoadReport.NONE);
  }

  private static int withdrawn(List<Order> orders) {
    return (int) orders.stream().filter(o -> o instanceof Order.Withdraw w && w.out()).count();
  }

  @Test
  void tasksLongGoneAreForgottenAndTheirPlacesServeOthers() throws ReflectiveOperationException {
    List<Listing> first = new ArrayList<>();
    for (int i = 0; i < TASKS; i++) {
      first.add(Fleet.listing("t" + i, 0, Listing.State.READY, 0));
    }
    tell(new Event.ListTold(Event.ListKind.WHOLE, first));
    tell(new Event.ProxyJoined(new ProxyId(0), new ZoneId(0), 5, true));
    Set<String> table = new TreeSet<>();
    for (int i = TASKS; i < REPLACED; i++) {
      now += EVERY / 2;
      List<Order> orders =
          new ArrayList<>(
              tell(changes(Fleet.listing("t" + i, 0, Listing.State.READY, now - EVERY / 2))));
      now += EVERY / 2;
      orders.addAll(
          tell(
              changes(Fleet.listing("t" + (i - TASKS), 0, Listing.State.GONE, 0)),
              sums("t" + (i - 1))));
      for (Order order : orders) {
        if (order instanceof Order.SetLine line && line.weight() > 0) {
          table.add(line.task().name());
        } else if (order instanceof Order.SetLine line) {
          table.remove(line.task().name());
        }
      }
      assertFalse(table.contains("t" + (i - TASKS)), "what left is named by no table");
      assertFalse(table.isEmpty());
    }
    // One that comes with tables of others may be told of what left lately, never of all that ever
    // did.
    List<Order> told =
        new ArrayList<>(tell(new Event.ProxyJoined(new ProxyId(1), new ZoneId(0), 5, false)));
    now += Tenths.SECOND;
    told.addAll(tell(sums("t" + (REPLACED - 1))));
    int most = (int) (600 * Tenths.SECOND / EVERY) + 2 * TASKS;
    assertTrue(
        withdrawn(told) <= most, withdrawn(told) + " of " + REPLACED + " are told to have left");
    assertTrue(places() <= most, places() + " places for " + REPLACED + " tasks");
    // A name that comes again after all is a task like any other.
    tell(changes(Fleet.listing("t3", 0, Listing.State.READY, 0)));
    Listing[] rest = new Listing[TASKS];
    for (int i = 0; i < TASKS; i++) {
      rest[i] = Fleet.listing("t" + (REPLACED - 1 - i), 0, Listing.State.GONE, 0);
    }
    assertTrue(
        tell(changes(rest)).stream()
            .anyMatch(
                o ->
                    o instanceof Order.SetLine line
                        && line.weight() > 0
                        && line.task().name().equals("t3")),
        "the only one left takes all lines");
  }

  /** How many tasks the figures have room for: no order shows what is merely kept. */
  private int places() throws ReflectiveOperationException {
    java.lang.reflect.Field tasks = Assigner.class.getDeclaredField("tasks");
    tasks.setAccessible(true);
    return tasks.getInt(assigner);
  }
}
