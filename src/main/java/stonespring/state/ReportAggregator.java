package stonespring.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import stonespring.model.EndpointId;
import stonespring.model.Event;
import stonespring.model.LoadReport;
import stonespring.model.ProxyId;
import stonespring.model.RequestClassId;
import stonespring.model.ZoneId;

/**
 * Gathers what proxies report until it is told on: one sum for each task and zone, one for each
 * proxy and op type. It holds no more than one figure for each pair however often proxies report,
 * and at most {@code pairsMost} of them; beyond, a report's further pairs are left out and counted.
 * Not safe for several threads.
 */
public final class ReportAggregator {
  /**
   * What one proxy met at one task. Span and latency in tenths of a millisecond; latency is the
   * good ones' mean.
   */
  public record Met(EndpointId task, long tries, long bad, long goodLatency, LoadReport load) {}

  /** What came to one proxy of one op type. */
  public record Came(RequestClassId opType, long ops, long unanswered) {}

  private static final class TaskCell {
    private long tries;
    private long bad;
    private double goodTime;
    private LoadReport load = LoadReport.NONE;
    private final Map<Integer, Long> spans = new HashMap<>();
  }

  private static final class ProxyCell {
    private long ops;
    private long unanswered;
    private long span;
  }

  private final int pairsMost;
  private final TreeMap<String, TaskCell> byTask = new TreeMap<>();
  private final Map<String, EndpointId> taskOf = new HashMap<>();
  private final TreeMap<Long, ProxyCell> byProxy = new TreeMap<>();
  private long leftOut;

  public ReportAggregator(int pairsMost) {
    this.pairsMost = pairsMost;
  }

  public void add(ProxyId proxy, ZoneId zone, long span, List<Met> met, List<Came> came) {
    for (Met m : met) {
      String key = zone.index() + "|" + m.task().name();
      TaskCell cell = byTask.get(key);
      if (cell == null) {
        if (byTask.size() >= pairsMost) {
          leftOut++;
          continue;
        }
        byTask.put(key, cell = new TaskCell());
        taskOf.put(key, m.task());
      }
      cell.tries += m.tries();
      cell.bad += m.bad();
      cell.goodTime += (double) m.goodLatency() * (m.tries() - m.bad());
      cell.spans.merge(proxy.number(), span, Long::sum);
      if (m.load() != LoadReport.NONE) {
        cell.load = m.load();
      }
    }
    for (Came c : came) {
      long key = (long) proxy.number() << 16 | c.opType().index();
      if (byProxy.size() >= pairsMost && !byProxy.containsKey(key)) {
        leftOut++;
        continue;
      }
      ProxyCell cell = byProxy.computeIfAbsent(key, k -> new ProxyCell());
      cell.ops += c.ops();
      cell.unanswered += c.unanswered();
      cell.span += span;
    }
  }

  /** A proxy left: what came to it is nobody's demand any more. What it met at tasks stays true. */
  public void left(ProxyId proxy) {
    byProxy.subMap((long) proxy.number() << 16, (long) proxy.number() + 1 << 16).clear();
  }

  /** Tells all that was gathered, and starts anew. */
  public List<Event> drain() {
    List<Event> events = new ArrayList<>();
    byTask.forEach(
        (key, cell) -> {
          ZoneId zone = new ZoneId(Integer.parseInt(key.substring(0, key.indexOf('|'))));
          long good = cell.tries - cell.bad;
          long span = cell.spans.values().stream().mapToLong(s -> s).max().orElse(1);
          if (cell.tries > 0) {
            events.add(
                new Event.EndpointOutcomes(
                    taskOf.get(key),
                    zone,
                    cell.tries,
                    cell.bad,
                    span,
                    good > 0 ? Math.max(1, Math.round(cell.goodTime / good)) : 0,
                    cell.load));
          }
        });
    byProxy.forEach(
        (key, cell) ->
            events.add(
                new Event.ProxyRequestRate(
                    new ProxyId((int) (key >> 16)),
                    new RequestClassId((int) (key & 0xFFFF)),
                    cell.ops,
                    cell.unanswered,
                    cell.span)));
    byTask.clear();
    taskOf.clear();
    byProxy.clear();
    return events;
  }

  /** How many pairs were left out at the bound, ever. */
  public long leftOut() {
    return leftOut;
  }
}
