package stonespring.testbed.virtual;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import stonespring.model.AckId;
import stonespring.model.Command;
import stonespring.model.DecisionEngine;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.RouteTableId;

/**
 * The baseline to compare with: every proxy names every listed, ready task with the same weight. It
 * looks at nothing else.
 */
final class EvenTables implements DecisionEngine {
  private static final int MARKS = 65_000; // numbers; as many as the wire takes

  private final TreeSet<String> ready = new TreeSet<>();
  private final TreeMap<Integer, TreeSet<String>> tables = new TreeMap<>();
  private final List<Command> orders = new ArrayList<>();
  private int mark;

  @Override
  public void handle(long now, Event event) {
    if (event instanceof Event.EndpointListUpdate e) {
      if (e.kind() == Event.ListUpdateKind.SNAPSHOT) {
        ready.clear();
      }
      for (EndpointRecord l : e.endpoints()) {
        if (l.state() == EndpointRecord.State.READY) {
          ready.add(l.endpoint().name());
        } else {
          ready.remove(l.endpoint().name());
        }
      }
    } else if (event instanceof Event.ProxyConnected e) {
      tables.put(e.proxy().number(), new TreeSet<>());
      orders.add(new Command.ClearRouteTable(new RouteTableId(e.proxy().number())));
      orders.add(new Command.AssignRouteTable(new RouteTableId(e.proxy().number()), e.proxy(), 0));
    } else if (event instanceof Event.ProxyDisconnected e) {
      tables.remove(e.proxy().number());
    }
  }

  @Override
  public List<Command> endBatch(long now) {
    tables.forEach(
        (number, held) -> {
          for (String task : ready) {
            if (held.add(task)) {
              orders.add(new Command.SetRoute(new RouteTableId(number), new EndpointId(task), 1));
            }
          }
          held.removeIf(
              task ->
                  !ready.contains(task)
                      && orders.add(
                          new Command.SetRoute(new RouteTableId(number), new EndpointId(task), 0)));
        });
    List<Command> all = new ArrayList<>(orders);
    orders.clear();
    if (!all.isEmpty()) {
      all.add(new Command.RequestAck(new AckId(mark++ % MARKS), false));
    }
    return all;
  }
}
