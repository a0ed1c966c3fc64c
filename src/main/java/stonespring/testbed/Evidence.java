package stonespring.testbed;

import java.util.ArrayList;
import java.util.List;

/**
 * The observations of a scenario, made at the sockets and in the effect ledgers of the endpoints.
 * They are the only input of the {@link InvariantChecker}. Times are in milliseconds since the
 * creation of this object. Thread-safe. Memory use is bounded only by the scenario's duration.
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

  /** An endpoint executed a request and recorded its effect. */
  public record Effect(
      double atMillis, String endpoint, String requestId, String requestClass, int attempt) {}

  /**
   * A warming-up endpoint crashed from overload.
   *
   * @param capacityMultiple work received, as a multiple of the endpoint's capacity at that time
   */
  public record Overloaded(double atMillis, String endpoint, double capacityMultiple) {}

  /**
   * An endpoint's entry in a registry answer to an instance.
   *
   * @param state "ready", "draining", or "gone" if the endpoint is no longer listed
   * @param startedAtMillis when its warm-up started; negative if it started without warm-up
   */
  public record Listed(double atMillis, String endpoint, String state, double startedAtMillis) {}

  /** An endpoint's process started ({@code up}) or died. */
  public record ProcessChange(
      double atMillis, String endpoint, String zone, boolean up, boolean warmingUp) {}

  /** From this time on, an endpoint's load reports claim a multiple of its real capacity. */
  public record FalseReport(double atMillis, String endpoint, double claimedCapacityMultiple) {}

  /**
   * The result of a client's request.
   *
   * @param status HTTP status of the final answer; 0 if there was none
   * @param reason the reason given by the proxy, or the failure if there was no answer
   * @param notExecuted whether the answer states that the request was not executed
   * @param durationMillis from the client's first attempt to its final answer or timeout
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
    /** Returns when the client received its final answer or gave up. */
    public double endedAtMillis() {
      return startedAtMillis + durationMillis;
    }
  }

  /**
   * An update message to a proxy was complete: its last key, the commit, was observed on the link.
   */
  public record Commit(double atMillis, String proxy) {}

  /**
   * The session of a proxy at an instance began or ended.
   *
   * @param connected true if the link forwarded the proxy's presence key to the instance, false if
   *     the connection ended or its link froze
   */
  public record Session(double atMillis, String proxy, boolean connected) {}

  /**
   * The channel backlog that an instance published in its status.
   *
   * @param backlog the highest number of entries waiting to be sent
   * @param limit the configured limit of {@code backlog}
   */
  public record ChannelBacklog(double atMillis, int backlog, int limit) {}

  private final long startNanos = System.nanoTime();
  private final List<Object> observations = new ArrayList<>();
  private final boolean enabled;

  /**
   * Starts the clock.
   *
   * @param enabled false to discard all observations, for stand-ins that run without a checker and
   *     for an unlimited time
   */
  public Evidence(boolean enabled) {
    this.enabled = enabled;
  }

  /** Returns the milliseconds since this object was created. */
  public double now() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  /** Adds an observation, which is an instance of one of the records of this class. */
  public synchronized void add(Object observation) {
    if (enabled) {
      observations.add(observation);
    }
  }

  /** Returns all observations of one type, in the order in which they were added. */
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
