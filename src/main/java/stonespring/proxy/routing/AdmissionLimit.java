package stonespring.proxy.routing;

import stonespring.model.RetryPolicy;

/**
 * The share or rate of a request class that is admitted, and the retry policy of the class.
 *
 * @param value a fraction or a number of requests per second, depending on {@link
 *     RouterSettings#limitKind}
 */
record AdmissionLimit(double value, RetryPolicy retryPolicy) {
  /**
   * Combines two limits: the result has the lower value, and the retry policy of the table's own
   * limit.
   *
   * @param forAllTables the limit for every table, or null
   * @param forTable the table's own limit, or null
   * @return the combined limit, the only one given, or null if both are null
   */
  static AdmissionLimit combine(AdmissionLimit forAllTables, AdmissionLimit forTable) {
    if (forAllTables == null || forTable == null) {
      return forAllTables == null ? forTable : forAllTables;
    }
    return new AdmissionLimit(Math.min(forAllTables.value, forTable.value), forTable.retryPolicy);
  }
}
