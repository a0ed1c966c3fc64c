package stonespring.testbed;

import java.util.ArrayList;
import java.util.List;

/**
 * What was observed at the sockets and in the endpoints' ledgers; the {@link InvariantChecker}
 * judges by it alone. Times are milliseconds since this object was made. Safe for several threads.
 * Grows with the scenario, which has a stated end.
 */
public final class Evidence {
  /** A request reached an endpoint. */
  public record Arrival(
      double at,
      String endpoint,
      String proxy,
      String requestId,
      String requestClass,
      int attempt) {}

  /** A request took effect at an endpoint. */
  public record Effect(
      double at, String endpoint, String requestId, String requestClass, int attempt) {}

  /** A warming-up endpoint crashed, as it was sent a multiple of what it could do. */
  public record Overloaded(double at, String endpoint, double multiple) {}

  /**
   * An endpoint as the registry listed it to an instance.
   *
   * @param state "ready", "draining", or "gone" where it is no longer listed
   * @param startedAt when it started to warm up; negative where it didn't
   */
  public record Listed(double at, String endpoint, String state, double startedAt) {}

  /** An endpoint's process started, or died. */
  public record ProcessChange(
      double at, String endpoint, String zone, boolean up, boolean warmingUp) {}

  /** From here on an endpoint's reports claim a multiple of its capacity. */
  public record FalseReport(double at, String endpoint, double multiple) {}

  /**
   * How a client's request ended.
   *
   * @param status the answer's status, 0 where there was no answer
   * @param reason the proxy's reason or, without an answer, the failure
   * @param tookMillis from the first attempt to the end
   */
  public record Outcome(
      double askedAt,
      String proxy,
      String requestId,
      String requestClass,
      int status,
      String reason,
      boolean notExecuted,
      double tookMillis) {
    /** When the client had its final answer or gave up. */
    public double endedAt() {
      return askedAt + tookMillis;
    }
  }

  /** A message's commit passed to a proxy. */
  public record Commit(double at, String proxy) {}

  /** A proxy's presence passed to an instance, or its connection broke. */
  public record Session(double at, String proxy, boolean connected) {}

  /** What an instance published of its channel: entries that wait, at most, and their limit. */
  public record ChannelBacklog(double at, int backlog, int limit) {}

  private final long startNanos = System.nanoTime();
  private final List<Object> observations = new ArrayList<>();
  private final boolean kept;

  /**
   * Starts the clock.
   *
   * @param kept false where nobody judges: then nothing is gathered, however long it goes on
   */
  public Evidence(boolean kept) {
    this.kept = kept;
  }

  /** Milliseconds since the start. */
  public double now() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  /** Adds an observation: one of this class's records. */
  public synchronized void add(Object observation) {
    if (kept) {
      observations.add(observation);
    }
  }

  /** All observations of a kind, in the order in which they were added. */
  public synchronized <T> List<T> observationsOf(Class<T> kind) {
    List<T> matching = new ArrayList<>();
    for (Object observation : observations) {
      if (kind.isInstance(observation)) {
        matching.add(kind.cast(observation));
      }
    }
    return matching;
  }
}
