package stonespring.testbed;

import java.util.ArrayList;
import java.util.List;

/**
 * What was seen at the sockets and in the endpoints' ledgers during a scenario; the {@link
 * InvariantChecker} judges by it alone. Times are milliseconds since the scenario's start. Safe for
 * several threads. Bounded by the scenario's length: a scenario has a stated end.
 */
public final class Evidence {
  /** A request as it reached an endpoint. */
  public record Arrival(
      double at, String endpoint, String proxy, String op, String requestClass, int attempt) {}

  /** A request began to take effect at an endpoint. */
  public record Effect(double at, String endpoint, String op, String requestClass, int attempt) {}

  /** A warming-up endpoint was sent more than it bears, and fell. */
  public record Overloaded(double at, String endpoint, double times) {}

  /**
   * The list as it was told to an instance: an endpoint's state, "gone" where it is missing; {@code
   * age} of a ready one.
   */
  public record Listed(double at, String endpoint, String state, double startedAt) {}

  /** An endpoint's process started, or died. */
  public record ProcessChange(double at, String endpoint, String zone, boolean up, boolean cold) {}

  /** From here an endpoint tells so many times the capacity that it has. */
  public record FalseReport(double at, String endpoint, double times) {}

  /** How a client's request ended; {@code tookMillis} from its first try. */
  public record Outcome(
      double askedAt,
      String proxy,
      String op,
      String requestClass,
      int status,
      String reason,
      boolean notExecuted,
      double tookMillis,
      double endedAt) {}

  /** A message's commit passed to a proxy. */
  public record Commit(double at, String proxy) {}

  /** A proxy's presence passed to an instance, or its stream broke. */
  public record Session(double at, String proxy, boolean joined) {}

  /** What an instance said of its channel. */
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
