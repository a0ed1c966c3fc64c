package stonespring.proxy.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;

/**
 * What a proxy met since it last reported; one figure for each task and op type, however much
 * comes.
 */
public final class RequestStatistics {
  /** A task's account of its load; NaN where it does not say. */
  public record Load(
      double busy, double waiting, double inHand, double workMs, double opsPerSecond) {}

  /**
   * What was met at one task; {@code goodTime} is the good tries' time together, tenths of a
   * millisecond.
   */
  public record Met(String task, long tries, long bad, long goodTime, Load load) {}

  private static final class Cell {
    private long tries;
    private long bad;
    private long goodTime;
    private Load load;
  }

  private final TreeMap<String, Cell> cells = new TreeMap<>();
  private final long[] ops;
  private final long[] unanswered;
  private long since;

  public RequestStatistics(int types, long now) {
    this.ops = new long[types];
    this.unanswered = new long[types];
    this.since = now;
  }

  public void came(RequestClassIndex type) {
    ops[type.index()]++;
  }

  public void unanswered(RequestClassIndex type) {
    unanswered[type.index()]++;
  }

  /** A try ended; {@code load} null where the answer told none. */
  public void met(EndpointName task, boolean good, long took, Load load) {
    Cell cell = cells.computeIfAbsent(task.name(), n -> new Cell());
    cell.tries++;
    if (good) {
      cell.goodTime += took;
    } else {
      cell.bad++;
    }
    if (load != null) {
      cell.load = load;
    }
  }

  public List<Met> met() {
    List<Met> all = new ArrayList<>();
    cells.forEach((task, c) -> all.add(new Met(task, c.tries, c.bad, c.goodTime, c.load)));
    return all;
  }

  public long ops(RequestClassIndex type) {
    return ops[type.index()];
  }

  public long unansweredOps(RequestClassIndex type) {
    return unanswered[type.index()];
  }

  /** The time that the figures stand for, tenths of a millisecond. */
  public long span(long now) {
    return Math.max(1, now - since);
  }

  /** Starts anew: what was gathered is reported. */
  public void clear(long now) {
    cells.clear();
    Arrays.fill(ops, 0);
    Arrays.fill(unanswered, 0);
    since = now;
  }
}
