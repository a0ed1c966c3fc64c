package stonespring.proxy.routing;

import java.util.List;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.RetrySafety;

/**
 * Settings of a proxy's routing. Durations are in {@link stonespring.model.DeciMillis}.
 *
 * @param requestClasses the request classes; a {@link stonespring.model.RequestClassId} is an index
 *     into this list
 * @param ejectAfterConsecutiveFailures number of consecutive failures of the proxy's own attempts
 *     after which it ejects an endpoint; 0 disables ejection
 * @param minEjectionDeciMillis shortest ejection; the duration is random between this and {@code
 *     maxEjectionDeciMillis}
 * @param maxEjectionDeciMillis longest ejection
 * @param minTimeForRetryDeciMillis time that must be left before the deadline for a retry
 * @param picking how an endpoint is picked from a table
 * @param limitKind whether the value of an admission limit is a fraction or a rate, or is ignored
 */
public record RouterSettings(
    List<ClassSettings> requestClasses,
    int ejectAfterConsecutiveFailures,
    long minEjectionDeciMillis,
    long maxEjectionDeciMillis,
    long minTimeForRetryDeciMillis,
    Picking picking,
    AdmissionLimitKind limitKind) {
  /**
   * One request class.
   *
   * @param name its name in published keys
   * @param deduplicationWindowDeciMillis how long endpoints recognise a repeat by its key, from the
   *     first attempt that might have been executed
   */
  public record ClassSettings(
      String name, RetrySafety retrySafety, long deduplicationWindowDeciMillis) {}

  /** How an endpoint is picked from the routes of a table. */
  public enum Picking {
    /** At random, with probabilities proportional to the weights. */
    WEIGHTED,
    /** Smooth weighted round robin. */
    ROUND_ROBIN,
    /**
     * Of two endpoints drawn by weight, the one with fewer of the proxy's own attempts in flight.
     */
    TWO_CHOICES
  }
}
