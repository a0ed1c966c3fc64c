package stonespring.lab.virtual;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import stonespring.model.DecisionModule;
import stonespring.model.Event;
import stonespring.model.Listing;
import stonespring.model.MarkId;
import stonespring.model.Order;
import stonespring.model.TableId;
import stonespring.model.TaskId;

/**
 * The baseline to compare with: every proxy names every listed, ready task with the same weight. It
 * looks at nothing else.
 */
final class EvenTables implements DecisionModule {
  private static final int MARKS = 65_000; // numbers; as many as the wire takes

  private final TreeSet<String> ready = new TreeSet<>();
  private final TreeMap<Integer, TreeSet<String>> tables = new TreeMap<>();
  private final List<Order> orders = new ArrayList<>();
  private int mark;

  @Override
  public void take(long now, Event event) {
    if (event instanceof Event.ListTold e) {
      if (e.kind() == Event.ListKind.WHOLE) {
        ready.clear();
      }
      for (Listing l : e.entries()) {
        if (l.state() == Listing.State.READY) {
          ready.add(l.task().name());
        } else {
          ready.remove(l.task().name());
        }
      }
    } else if (event instanceof Event.ProxyJoined e) {
      tables.put(e.proxy().number(), new TreeSet<>());
      orders.add(new Order.ClearTable(new TableId(e.proxy().number())));
      orders.add(new Order.Bind(new TableId(e.proxy().number()), e.proxy(), 0));
    } else if (event instanceof Event.ProxyLeft e) {
      tables.remove(e.proxy().number());
    }
  }

  @Override
  public List<Order> finish(long now) {
    tables.forEach(
        (number, held) -> {
          for (String task : ready) {
            if (held.add(task)) {
              orders.add(new Order.SetLine(new TableId(number), new TaskId(task), 1));
            }
          }
          held.removeIf(
              task ->
                  !ready.contains(task)
                      && orders.add(new Order.SetLine(new TableId(number), new TaskId(task), 0)));
        });
    List<Order> all = new ArrayList<>(orders);
    orders.clear();
    if (!all.isEmpty()) {
      all.add(new Order.Mark(new MarkId(mark++ % MARKS), false));
    }
    return all;
  }
}
