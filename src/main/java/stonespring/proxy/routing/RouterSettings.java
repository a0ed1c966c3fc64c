package stonespring.proxy.routing;

import java.util.List;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.RetrySafety;

/**
 * What a proxy's routing is configured with. Durations are in {@link stonespring.model.DeciMillis}.
 *
 * @param requestClasses the request classes; a {@link stonespring.model.RequestClassId} is a
 *     position among them
 * @param ejectAfterConsecutiveFailures failures in a row of the proxy's own attempts after which it
 *     ejects an endpoint; 0 for never
 * @param minEjectionDeciMillis the shortest ejection; its time is drawn between this and {@code
 *     maxEjectionDeciMillis}
 * @param minTimeForRetryDeciMillis the time that must be left before the deadline for another
 *     attempt
 * @param picking how an endpoint is picked from a table
 * @param limitKind what the number of an admission limit means
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
    /** At random, by weight. */
    WEIGHTED,
    /** In turn, by weight. */
    ROUND_ROBIN,
    /** Of two drawn by weight, the one with fewer of the proxy's own requests in flight. */
    TWO_CHOICES
  }
}
