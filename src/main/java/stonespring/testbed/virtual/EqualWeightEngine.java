package stonespring.testbed.virtual;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
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
 * Baseline engine for comparisons. Every proxy has a route of equal weight to every ready endpoint
 * of the endpoint list; reports are ignored.
 */
final class EqualWeightEngine implements DecisionEngine {
  /** Number of acknowledgement IDs before they wrap around; limited by the wire format. */
  private static final int ACK_ID_COUNT = 65_000;

  private final TreeSet<String> readyEndpoints = new TreeSet<>();
  private final TreeMap<Integer, TreeSet<String>> routesByTable = new TreeMap<>();
  private final List<Command> commands = new ArrayList<>();
  private int requestedAcks;

  @Override
  public void handle(long now, Event event) {
    if (event instanceof Event.EndpointListUpdate update) {
      updateEndpoints(update);
    } else if (event instanceof Event.ProxyConnected connected) {
      RouteTableId table = new RouteTableId(connected.proxy().number());
      routesByTable.put(table.number(), new TreeSet<>());
      commands.add(new Command.ClearRouteTable(table));
      commands.add(new Command.AssignRouteTable(table, connected.proxy(), 0));
    } else if (event instanceof Event.ProxyDisconnected disconnected) {
      routesByTable.remove(disconnected.proxy().number());
    }
  }

  private void updateEndpoints(Event.EndpointListUpdate update) {
    if (update.kind() == Event.ListUpdateKind.SNAPSHOT) {
      readyEndpoints.clear();
    }
    for (EndpointRecord endpoint : update.endpoints()) {
      if (endpoint.state() == EndpointRecord.State.READY) {
        readyEndpoints.add(endpoint.endpoint().name());
      } else {
        readyEndpoints.remove(endpoint.endpoint().name());
      }
    }
  }

  @Override
  public List<Command> endBatch(long now) {
    for (Map.Entry<Integer, TreeSet<String>> entry : routesByTable.entrySet()) {
      updateTable(new RouteTableId(entry.getKey()), entry.getValue());
    }
    List<Command> batch = new ArrayList<>(commands);
    commands.clear();
    if (!batch.isEmpty()) {
      batch.add(new Command.RequestAck(new AckId(requestedAcks++ % ACK_ID_COUNT), false));
    }
    return batch;
  }

  private void updateTable(RouteTableId table, TreeSet<String> routes) {
    for (String endpoint : readyEndpoints) {
      if (routes.add(endpoint)) {
        commands.add(new Command.SetRoute(table, new EndpointId(endpoint), 1));
      }
    }
    for (Iterator<String> iterator = routes.iterator(); iterator.hasNext(); ) {
      String endpoint = iterator.next();
      if (!readyEndpoints.contains(endpoint)) {
        iterator.remove();
        commands.add(new Command.SetRoute(table, new EndpointId(endpoint), 0));
      }
    }
  }
}
