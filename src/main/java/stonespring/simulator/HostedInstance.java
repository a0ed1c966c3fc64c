package stonespring.simulator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import stonespring.decision.AssignmentEngine;
import stonespring.model.AckId;
import stonespring.model.Command;
import stonespring.model.DecisionEngine;
import stonespring.model.EndpointId;
import stonespring.model.EndpointRecord;
import stonespring.model.Event;
import stonespring.model.LoadReport;
import stonespring.model.PeerId;
import stonespring.model.ProxyId;
import stonespring.model.RouteTableId;
import stonespring.model.TimerToken;

/** One hosted assigner: turns its messages into events. Shares nothing with the other instances. */
final class HostedInstance {
  private SettingsReader reader;
  private DecisionEngine module;
  private String failure;
  private final Set<EndpointId> tasksTold = new HashSet<>();
  private final Set<ProxyId> proxiesTold = new HashSet<>();

  /** Takes one message; {@code entryLists} holds the numbered task lists as of this message. */
  void take(long now, JsonNode values, JsonNode[] entryLists) {
    SimulatorMessage message = message(values);
    String name = values.get(0).asText();
    switch (name) {
      case "boot" -> {
        long seed = message.at(0, "salt").asLong();
        reader = new SettingsReader(message.at(1, "facts"));
        failure = null;
        tasksTold.clear();
        proxiesTold.clear();
        guarded(() -> module = new AssignmentEngine(reader.settings, seed, now));
      }
      case "down" -> module = null;
      default -> {
        Event event = event(name, message, entryLists);
        if (event != null && module != null && failure == null) {
          remember(event);
          guarded(() -> module.handle(now, event));
        }
      }
    }
  }

  List<Command> finish(long now) {
    List<Command> orders = new ArrayList<>();
    if (module != null && failure == null) {
      guarded(() -> orders.addAll(module.endBatch(now)));
    }
    if (failure != null) {
      return List.of();
    }
    orders.forEach(this::checkKnown);
    return orders;
  }

  /**
   * An order for an id that this instance was never told would cost the whole run: better to stop
   * plainly.
   */
  private void checkKnown(Command order) {
    if (order instanceof Command.SetRoute o) {
      known("setLine", o.endpoint());
    } else if (order instanceof Command.ExcludeEndpoint o) {
      known("pull", o.endpoint());
    } else if (order instanceof Command.HealthCheck o) {
      known("askLoad", o.endpoint());
    } else if (order instanceof Command.AssignRouteTable o && !proxiesTold.contains(o.proxy())) {
      throw new SimulatorProtocolException(
          "order 'pin': field 'clientLb' names a proxy that never joined: " + o.proxy().number());
    }
  }

  private void known(String order, EndpointId task) {
    if (!tasksTold.contains(task)) {
      throw new SimulatorProtocolException(
          "order '" + order + "': field 'task' names a task that was never told: " + task.name());
    }
  }

  /** The text of an exception inside the module, or null. */
  String failure() {
    return failure;
  }

  private void remember(Event event) {
    if (event instanceof Event.EndpointListUpdate e) {
      e.endpoints().forEach(entry -> tasksTold.add(entry.endpoint()));
    } else if (event instanceof Event.ShardRoute e) {
      tasksTold.add(e.endpoint());
    } else if (event instanceof Event.EndpointOutcomes e) {
      tasksTold.add(e.endpoint());
    } else if (event instanceof Event.ProxyConnected e) {
      proxiesTold.add(e.proxy());
    }
  }

  static SimulatorMessage message(JsonNode values) {
    if (!values.isArray() || values.isEmpty() || !values.get(0).isTextual()) {
      throw new SimulatorProtocolException(
          "field 'msgs' holds a message that does not start with a name: " + values);
    }
    return new SimulatorMessage(values.get(0).asText(), values, 1);
  }

  private void guarded(Runnable work) {
    try {
      work.run();
    } catch (RuntimeException | StackOverflowError e) {
      StackTraceElement[] trace = e.getStackTrace();
      failure = "the decision module failed: " + e + (trace.length > 0 ? " at " + trace[0] : "");
      e.printStackTrace();
    }
  }

  private Event event(String name, SimulatorMessage m, JsonNode[] entryLists) {
    if (reader == null) {
      throw new SimulatorProtocolException(
          "message '" + name + "' came before the instance's 'boot'");
    }
    return switch (name) {
      case "endpoints" -> list(m, entryLists);
      case "heard" -> new Event.PeerMessage(new PeerId(m.small(0, "sender")), bytes(m));
      case "traffic" ->
          new Event.ProxyRequestRate(
              new ProxyId(m.small(0, "clientLb")),
              reader.opType(m, 1, "class"),
              m.whole(2, "total"),
              m.whole(3, "errors"),
              m.time(4, "periodLenS"));
      case "pressure" ->
          new Event.ShardRequestRate(
              new RouteTableId(m.small(0, "sheet")),
              reader.opType(m, 1, "class"),
              m.whole(2, "total"),
              m.whole(3, "errors"),
              m.time(4, "periodLenS"));
      case "ledgerLine" ->
          new Event.ShardRoute(
              new RouteTableId(m.small(0, "sheet")),
              new EndpointId(m.text(1, "task")),
              m.number(2, "w"));
      case "alarm" -> new Event.TimerFired(new TimerToken(m.whole(0, "token")));
      case "acked" ->
          new Event.UpdateAcknowledged(
              new ProxyId(m.small(0, "clientLb")),
              new AckId(m.small(1, "version")),
              m.time(2, "durationS"));
      case "given" ->
          new Event.ShardOwnership(new RouteTableId(m.small(0, "sheet")), m.flag(1, "yes"));
      case "echo" ->
          new Event.HealthCheckResult(
              new EndpointId(m.text(0, "task")),
              m.whole(1, "status") == 200,
              m.time(2, "durationS"),
              report(m, 3));
      case "disconnected" -> new Event.ProxyDisconnected(new ProxyId(m.small(0, "clientLb")));
      case "joined" ->
          new Event.ProxyConnected(
              new ProxyId(m.small(0, "clientLb")),
              reader.zone(m, 1, "regionPart"),
              m.number(2, "w"),
              m.flag(3, "yes"));
      case "observed" ->
          new Event.EndpointOutcomes(
              new EndpointId(m.text(5, "task")),
              reader.zone(m, 3, "regionPart"),
              m.whole(1, "total"),
              m.whole(0, "errors"),
              m.time(2, "periodLenS"),
              m.time(4, "durationS"),
              report(m, 6));
      default -> throw new SimulatorProtocolException("message '" + name + "' is not known");
    };
  }

  private Event list(SimulatorMessage m, JsonNode[] entryLists) {
    Event.ListUpdateKind kind =
        switch (m.text(1, "mode")) {
          case "patch" -> Event.ListUpdateKind.DELTA;
          case "whole" -> Event.ListUpdateKind.SNAPSHOT;
          case "stale_copy" -> Event.ListUpdateKind.CACHED;
          case "broken" -> Event.ListUpdateKind.FETCH_FAILED;
          default -> throw m.bad("mode", "has an unknown word: " + m.text(1, "mode"));
        };
    List<EndpointRecord> entries = new ArrayList<>();
    if (kind != Event.ListUpdateKind.FETCH_FAILED) {
      int number = m.small(0, "setId");
      JsonNode list = number < entryLists.length ? entryLists[number] : null;
      if (list == null) {
        throw m.bad("setId", "names a list that was not sent: " + number);
      }
      for (JsonNode node : list) {
        entries.add(listing(new SimulatorMessage("ledger", node, 0)));
      }
    }
    return new Event.EndpointListUpdate(kind, entries);
  }

  private EndpointRecord listing(SimulatorMessage entry) {
    EndpointRecord.State state =
        switch (entry.text(3, "state")) {
          case "up" -> EndpointRecord.State.READY;
          case "draining" -> EndpointRecord.State.DRAINING;
          case "removed" -> EndpointRecord.State.REMOVED;
          default -> throw entry.bad("state", "has an unknown word: " + entry.text(3, "state"));
        };
    JsonNode weight = entry.at(1, "w");
    JsonNode started = entry.at(4, "launchedS");
    return new EndpointRecord(
        new EndpointId(entry.text(6, "task")),
        reader.zone(entry, 0, "regionPart"),
        weight.isNumber() ? weight.asDouble() : 1,
        state,
        started.isNull() ? 0 : entry.time(4, "launchedS"));
  }

  private static LoadReport report(SimulatorMessage m, int position) {
    JsonNode node = m.at(position, "report");
    if (!node.isObject()) {
      return LoadReport.NONE;
    }
    return new LoadReport(
        node.path("utilization").asDouble(Double.NaN),
        node.path("backlog").asDouble(Double.NaN),
        node.path("outstanding").asDouble(Double.NaN),
        node.path("recent_ms").asDouble(Double.NaN),
        node.path("throughput").asDouble(Double.NaN));
  }

  private static byte[] bytes(SimulatorMessage m) {
    try {
      return HexFormat.of().parseHex(m.text(1, "data"));
    } catch (IllegalArgumentException e) {
      throw m.bad("data", "is not made of hex digits");
    }
  }
}
