package stonespring.testbed;

import java.util.ArrayList;
import java.util.List;

/**
 * What was seen at the sockets and in the tasks' ledgers during a day; the {@link InvariantChecker}
 * judges by it alone. Times are milliseconds since the day's start. Safe for several threads.
 * Bounded by the day's length: a day has a stated end.
 */
public final class Evidence {
  /** An op as it reached a task. */
  public record Arrival(
      double at, String task, String proxy, String op, String opType, int tryNumber) {}

  /** An op began to take effect at a task. */
  public record Effect(double at, String task, String op, String opType, int tryNumber) {}

  /** A cold task was sent more than it bears, and fell. */
  public record Fell(double at, String task, double times) {}

  /**
   * The list as it was told to an assigner: a task's state, "gone" where it is missing; {@code age}
   * of a ready one.
   */
  public record Told(double at, String task, String state, double startedAt) {}

  /** A task's process started, or died. */
  public record Life(double at, String task, String zone, boolean up, boolean cold) {}

  /** From here a task tells so many times the capacity that it has. */
  public record Claims(double at, String task, double times) {}

  /** How a client's op ended; {@code tookMillis} from its first try. */
  public record Outcome(
      double askedAt,
      String proxy,
      String op,
      String opType,
      int status,
      String reason,
      boolean notRun,
      double tookMillis,
      double endedAt) {}

  /** A message's commit passed to a proxy. */
  public record Commit(double at, String proxy) {}

  /** A proxy's presence passed to an assigner, or its stream broke. */
  public record Stream(double at, String proxy, boolean joined) {}

  /** What an assigner said of its channel. */
  public record Channel(double at, int backlog, int limit) {}

  private final long start = System.nanoTime();
  private final List<Object> all = new ArrayList<>();
  private final boolean kept;

  /**
   * @param kept false where nobody judges: then nothing is gathered, however long it goes on
   */
  public Evidence(boolean kept) {
    this.kept = kept;
  }

  public double now() {
    return (System.nanoTime() - start) / 1e6;
  }

  public synchronized void add(Object seen) {
    if (kept) {
      all.add(seen);
    }
  }

  public synchronized <T> List<T> of(Class<T> kind) {
    List<T> some = new ArrayList<>();
    for (Object seen : all) {
      if (kind.isInstance(seen)) {
        some.add(kind.cast(seen));
      }
    }
    return some;
  }
}
