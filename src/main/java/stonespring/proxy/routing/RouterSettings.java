package stonespring.proxy.routing;

import java.util.List;
import stonespring.model.AdmissionLimitKind;
import stonespring.model.RetrySafety;

/**
 * What a proxy's routing reads, decoded once. Times in tenths of a millisecond.
 *
 * @param window how long the tasks drop a repeat of a deduplicated op, from the first try that
 *     might have run
 * @param shunAfter a task is kept away from after so many of the proxy's own tries there in a row
 *     failed; 0: never
 * @param shunLeast the shortest time that it is kept away from; the time is drawn between this and
 *     {@code shunMost}
 * @param retryLeast the time that must be left before the op timeout for a further try
 */
public record RouterSettings(
    List<Type> types,
    int shunAfter,
    long shunLeast,
    long shunMost,
    long retryLeast,
    Picks picks,
    AdmissionLimitKind levels) {
  /** One op type. */
  public record Type(String name, RetrySafety repeat, long window) {}

  /**
   * How a line is picked: by weight, evenly by weight in turn, or of two drawn the one with fewer
   * own ops out.
   */
  public enum Picks {
    WEIGHTED,
    ROUND,
    TWO
  }
}
