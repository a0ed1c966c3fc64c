package stonespring.testbed.virtual;

import stonespring.model.LoadReport;

/**
 * The result of an attempt at an endpoint.
 *
 * @param succeeded whether the endpoint executed the request and answered
 * @param executed whether the endpoint may have executed the request
 * @param load the load reported with the answer; null if there was no answer
 */
record AttemptResult(boolean succeeded, boolean executed, LoadReport load) {
  /** The connection was refused because the endpoint's process is not running. */
  static final AttemptResult CONNECTION_REFUSED = new AttemptResult(false, false, null);

  static AttemptResult succeeded(LoadReport load) {
    return new AttemptResult(true, true, load);
  }

  /** Returns the result of an attempt that the endpoint answered without executing the request. */
  static AttemptResult rejected(LoadReport load) {
    return new AttemptResult(false, false, load);
  }
}
