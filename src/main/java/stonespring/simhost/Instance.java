package stonespring.simhost;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import stonespring.decision.Assigner;
import stonespring.model.DecisionModule;
import stonespring.model.Event;
import stonespring.model.Listing;
import stonespring.model.LoadReport;
import stonespring.model.MarkId;
import stonespring.model.Order;
import stonespring.model.PeerId;
import stonespring.model.ProxyId;
import stonespring.model.TableId;
import stonespring.model.TaskId;
import stonespring.model.TimerToken;

/** One hosted assigner: turns its messages into events. Shares nothing with the other instances. */
final class Instance {
  private SettingsReader reader;
  private DecisionModule module;
  private String failure;
  private final Set<TaskId> tasksTold = new HashSet<>();
  private final Set<ProxyId> proxiesTold = new HashSet<>();

  /** Takes one message; {@code entryLists} holds the numbered task lists as of this message. */
  void take(long now, JsonNode values, JsonNode[] entryLists) {
    Message message = message(values);
    String name = values.get(0).asText();
    switch (name) {
      case "boot" -> {
        long seed = message.at(0, "salt").asLong();
        reader = new SettingsReader(message.at(1, "facts"));
        failure = null;
        tasksTold.clear();
        proxiesTold.clear();
        guarded(() -> module = new Assigner(reader.settings, seed, now));
      }
      case "down" -> module = null;
      default -> {
        Event event = event(name, message, entryLists);
        if (event != null && module != null && failure == null) {
          remember(event);
          guarded(() -> module.take(now, event));
        }
      }
    }
  }

  List<Order> finish(long now) {
    List<Order> orders = new ArrayList<>();
    if (module != null && failure == null) {
      guarded(() -> orders.addAll(module.finish(now)));
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
  private void checkKnown(Order order) {
    if (order instanceof Order.SetLine o) {
      known("setLine", o.task());
    } else if (order instanceof Order.Withdraw o) {
      known("pull", o.task());
    } else if (order instanceof Order.Probe o) {
      known("askLoad", o.task());
    } else if (order instanceof Order.Bind o && !proxiesTold.contains(o.proxy())) {
      throw new WireException(
          "order 'pin': field 'clientLb' names a proxy that never joined: " + o.proxy().number());
    }
  }

  private void known(String order, TaskId task) {
    if (!tasksTold.contains(task)) {
      throw new WireException(
          "order '" + order + "': field 'task' names a task that was never told: " + task.name());
    }
  }

  /** The text of an exception inside the module, or null. */
  String failure() {
    return failure;
  }

  private void remember(Event event) {
    if (event instanceof Event.ListTold e) {
      e.entries().forEach(entry -> tasksTold.add(entry.task()));
    } else if (event instanceof Event.SliceLine e) {
      tasksTold.add(e.task());
    } else if (event instanceof Event.TaskSums e) {
      tasksTold.add(e.task());
    } else if (event instanceof Event.ProxyJoined e) {
      proxiesTold.add(e.proxy());
    }
  }

  static Message message(JsonNode values) {
    if (!values.isArray() || values.isEmpty() || !values.get(0).isTextual()) {
      throw new WireException(
          "field 'msgs' holds a message that does not start with a name: " + values);
    }
    return new Message(values.get(0).asText(), values, 1);
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

  private Event event(String name, Message m, JsonNode[] entryLists) {
    if (reader == null) {
      throw new WireException("message '" + name + "' came before the instance's 'boot'");
    }
    return switch (name) {
      case "endpoints" -> list(m, entryLists);
      case "heard" -> new Event.PeerSaid(new PeerId(m.small(0, "sender")), bytes(m));
      case "traffic" ->
          new Event.ProxyOps(
              new ProxyId(m.small(0, "clientLb")),
              reader.opType(m, 1, "class"),
              m.whole(2, "total"),
              m.whole(3, "errors"),
              m.time(4, "periodLenS"));
      case "pressure" ->
          new Event.SliceOps(
              new TableId(m.small(0, "sheet")),
              reader.opType(m, 1, "class"),
              m.whole(2, "total"),
              m.whole(3, "errors"),
              m.time(4, "periodLenS"));
      case "ledgerLine" ->
          new Event.SliceLine(
              new TableId(m.small(0, "sheet")), new TaskId(m.text(1, "task")), m.number(2, "w"));
      case "alarm" -> new Event.TimerDue(new TimerToken(m.whole(0, "token")));
      case "acked" ->
          new Event.Answered(
              new ProxyId(m.small(0, "clientLb")),
              new MarkId(m.small(1, "version")),
              m.time(2, "durationS"));
      case "given" -> new Event.SliceGiven(new TableId(m.small(0, "sheet")), m.flag(1, "yes"));
      case "echo" ->
          new Event.Probed(
              new TaskId(m.text(0, "task")),
              m.whole(1, "status") == 200,
              m.time(2, "durationS"),
              report(m, 3));
      case "disconnected" -> new Event.ProxyLeft(new ProxyId(m.small(0, "clientLb")));
      case "joined" ->
          new Event.ProxyJoined(
              new ProxyId(m.small(0, "clientLb")),
              reader.zone(m, 1, "regionPart"),
              m.number(2, "w"),
              m.flag(3, "yes"));
      case "observed" ->
          new Event.TaskSums(
              new TaskId(m.text(5, "task")),
              reader.zone(m, 3, "regionPart"),
              m.whole(1, "total"),
              m.whole(0, "errors"),
              m.time(2, "periodLenS"),
              m.time(4, "durationS"),
              report(m, 6));
      default -> throw new WireException("message '" + name + "' is not known");
    };
  }

  private Event list(Message m, JsonNode[] entryLists) {
    Event.ListKind kind =
        switch (m.text(1, "mode")) {
          case "patch" -> Event.ListKind.CHANGES;
          case "whole" -> Event.ListKind.WHOLE;
          case "stale_copy" -> Event.ListKind.LAST_SEEN;
          case "broken" -> Event.ListKind.FAILED;
          default -> throw m.bad("mode", "has an unknown word: " + m.text(1, "mode"));
        };
    List<Listing> entries = new ArrayList<>();
    if (kind != Event.ListKind.FAILED) {
      int number = m.small(0, "setId");
      JsonNode list = number < entryLists.length ? entryLists[number] : null;
      if (list == null) {
        throw m.bad("setId", "names a list that was not sent: " + number);
      }
      for (JsonNode node : list) {
        entries.add(listing(new Message("ledger", node, 0)));
      }
    }
    return new Event.ListTold(kind, entries);
  }

  private Listing listing(Message entry) {
    Listing.State state =
        switch (entry.text(3, "state")) {
          case "up" -> Listing.State.READY;
          case "draining" -> Listing.State.DRAINING;
          case "removed" -> Listing.State.GONE;
          default -> throw entry.bad("state", "has an unknown word: " + entry.text(3, "state"));
        };
    JsonNode weight = entry.at(1, "w");
    JsonNode started = entry.at(4, "launchedS");
    return new Listing(
        new TaskId(entry.text(6, "task")),
        reader.zone(entry, 0, "regionPart"),
        weight.isNumber() ? weight.asDouble() : 1,
        state,
        started.isNull() ? 0 : entry.time(4, "launchedS"));
  }

  private static LoadReport report(Message m, int position) {
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

  private static byte[] bytes(Message m) {
    try {
      return HexFormat.of().parseHex(m.text(1, "data"));
    } catch (IllegalArgumentException e) {
      throw m.bad("data", "is not made of hex digits");
    }
  }
}
