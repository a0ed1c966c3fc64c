package stonespring.proxy.routing;

import stonespring.model.RetryPolicy;

/**
 * How much of a request class is admitted, and when its requests are repeated.
 *
 * @param value a fraction or requests per second, as {@link RouterSettings#limitKind} has it
 */
record AdmissionLimit(double value, RetryPolicy retryPolicy) {
  /**
   * The limit that two make together: the lower value, and the retry policy of the table's own.
   *
   * @param forAllTables the limit for every table, or null
   * @param forTable the table's own limit, or null
   * @return null if there is neither
   */
  static AdmissionLimit combine(AdmissionLimit forAllTables, AdmissionLimit forTable) {
    if (forAllTables == null || forTable == null) {
      return forAllTables == null ? forTable : forAllTables;
    }
    return new AdmissionLimit(Math.min(forAllTables.value, forTable.value), forTable.retryPolicy);
  }
}
