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
      double atMillis,
      String endpoint,
      String proxy,
      String requestId,
      String requestClass,
      int attempt) {}

  /** A request took effect at an endpoint. */
  public record Effect(
      double atMillis, String endpoint, String requestId, String requestClass, int attempt) {}

  /** A warming-up endpoint crashed, as it was sent a multiple of what it could do. */
  public record Overloaded(double atMillis, String endpoint, double capacityMultiple) {}

  /**
   * An endpoint as the registry listed it to an instance.
   *
   * @param state "ready", "draining", or "gone" where it is no longer listed
   * @param startedAtMillis when it started to warm up; negative where it didn't
   */
  public record Listed(double atMillis, String endpoint, String state, double startedAtMillis) {}

  /** An endpoint's process started, or died. */
  public record ProcessChange(
      double atMillis, String endpoint, String zone, boolean up, boolean warmingUp) {}

  /** From here on an endpoint's reports claim a multiple of its capacity. */
  public record FalseReport(double atMillis, String endpoint, double claimedCapacityMultiple) {}

  /**
   * How a client's request ended.
   *
   * @param status the answer's status, 0 where there was no answer
   * @param reason the proxy's reason or, without an answer, the failure
   * @param durationMillis from the first attempt to the end
   */
  public record Outcome(
      double startedAtMillis,
      String proxy,
      String requestId,
      String requestClass,
      int status,
      String reason,
      boolean notExecuted,
      double durationMillis) {
    /** When the client had its final answer or gave up. */
    public double endedAtMillis() {
      return startedAtMillis + durationMillis;
    }
  }

  /** A message's commit passed to a proxy. */
  public record Commit(double atMillis, String proxy) {}

  /** A proxy's presence passed to an instance, or its connection broke. */
  public record Session(double atMillis, String proxy, boolean connected) {}

  /** What an instance published of its channel: entries that wait, at most, and their limit. */
  public record ChannelBacklog(double atMillis, int backlog, int limit) {}

  private final long startNanos = System.nanoTime();
  private final List<Object> observations = new ArrayList<>();
  private final boolean enabled;

  /**
   * Starts the clock.
   *
   * @param enabled false where nobody judges: then nothing is gathered, however long it goes on
   */
  public Evidence(boolean enabled) {
    this.enabled = enabled;
  }

  /** Milliseconds since the start. */
  public double now() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  /** Adds an observation: one of this class's records. */
  public synchronized void add(Object observation) {
    if (enabled) {
      observations.add(observation);
    }
  }

  /** All observations of a kind, in the order in which they were added. */
  public synchronized <T> List<T> observationsOf(Class<T> kind) {
    List<T> matches = new ArrayList<>();
    for (Object observation : observations) {
      if (kind.isInstance(observation)) {
        matches.add(kind.cast(observation));
      }
    }
    return matches;
  }
}
