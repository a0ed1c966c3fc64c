package stonespring.solver;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import stonespring.model.EndpointId;
import stonespring.model.ProxyId;
import stonespring.model.ZoneId;

/**
 * The fleet at one moment, as the solver needs it: parallel arrays under a dense index, tasks in
 * the order of their names and proxies in that of their numbers, so that the order in which they
 * were told never matters.
 */
public final class Problem {
  /**
   * A ready task.
   *
   * @param capacity ops a second that it is trusted with
   * @param most ops a second that it may get at all; infinite for a warm one
   * @param namedMost ops a second that all proxies naming it may bring in all; infinite for a warm
   *     one
   * @param unfit by op type, the share of tries there that end badly
   */
  public record Task(
      EndpointId id, ZoneId zone, double capacity, double most, double namedMost, double[] unfit) {
    public boolean warm() {
      return most == Double.POSITIVE_INFINITY;
    }
  }

  /** A line that a proxy holds; its connection is open. */
  public record Line(EndpointId task, double weight) {}

  /** A proxy: what comes in there, ops a second by op type, and the lines that it holds. */
  public record Proxy(ProxyId id, ZoneId zone, double[] ops, List<Line> standing) {
    double all() {
      double sum = 0;
      for (double each : ops) {
        sum += each;
      }
      return sum;
    }
  }

  final int zones;
  final int opTypes;
  final int lineLimit;
  final CostModel prices;
  final Task[] task;
  final Proxy[] proxy;
  final Map<EndpointId, Integer> taskIndex = new HashMap<>();

  /**
   * @param lineLimit lines that a table may have; large proxies get more where so few tasks can't
   *     carry them
   * @throws IllegalArgumentException if an id comes twice, a zone or op type is unknown, or a
   *     figure is none
   */
  public Problem(
      int zones,
      int opTypes,
      int lineLimit,
      CostModel prices,
      List<Task> tasks,
      List<Proxy> proxies) {
    if (zones < 1 || opTypes < 1 || lineLimit < 1) {
      throw new IllegalArgumentException("problem: zones, op types and lines must be at least 1");
    }
    this.zones = zones;
    this.opTypes = opTypes;
    this.lineLimit = lineLimit;
    this.prices = prices;
    List<Task> byName = new ArrayList<>(tasks);
    byName.sort((a, b) -> a.id().name().compareTo(b.id().name()));
    task = byName.toArray(Task[]::new);
    List<Proxy> byNumber = new ArrayList<>(proxies);
    byNumber.sort((a, b) -> Integer.compare(a.id().number(), b.id().number()));
    proxy = byNumber.toArray(Proxy[]::new);
    for (int t = 0; t < task.length; t++) {
      Task one = task[t];
      require(taskIndex.put(one.id(), t) == null, one.id().name() + " comes twice");
      require(one.zone().index() < zones, one.id().name() + " is in zone " + one.zone().index());
      require(
          one.capacity() > 0 && one.capacity() < 1e12,
          one.id().name() + ": capacity " + one.capacity());
      require(
          one.most() > 0 && one.namedMost() > 0,
          one.id().name() + ": most " + one.most() + ", named " + one.namedMost());
      require(
          one.unfit().length == opTypes,
          one.id().name() + ": unfit for " + one.unfit().length + " op types");
      for (double unfit : one.unfit()) {
        require(unfit >= 0 && unfit <= 1, one.id().name() + ": unfit " + unfit);
      }
    }
    Set<ProxyId> seen = new HashSet<>();
    for (Proxy one : proxy) {
      String name = "proxy " + one.id().number();
      require(seen.add(one.id()), name + " comes twice");
      require(one.zone().index() < zones, name + " is in zone " + one.zone().index());
      require(one.ops().length == opTypes, name + ": ops of " + one.ops().length + " op types");
      for (double ops : one.ops()) {
        require(ops >= 0 && ops < 1e12, name + ": ops " + ops);
      }
      for (Line line : one.standing()) {
        require(line.weight() >= 0 && line.weight() < 1e12, name + ": weight " + line.weight());
      }
    }
  }

  private static void require(boolean holds, String what) {
    if (!holds) {
      throw new IllegalArgumentException("problem: " + what);
    }
  }

  int zoneOf(int t) {
    return task[t].zone().index();
  }

  /**
   * What an op of the mean mix loses at a task besides lateness: a crossing, and tries that end
   * badly.
   */
  double linePrice(int z, int t) {
    double unfit = 0;
    for (double each : task[t].unfit()) {
      unfit += each / opTypes;
    }
    return unfit + (zoneOf(t) == z ? 0 : prices.crossing());
  }
}
