package stonespring.testbed.virtual;

import stonespring.model.LoadReport;

/**
 * How an attempt ended at an endpoint.
 *
 * @param succeeded whether the endpoint executed the request and answered
 * @param executed whether the endpoint may have executed the request
 * @param load the load that the endpoint reported with its answer; null without an answer
 */
record AttemptResult(boolean succeeded, boolean executed, LoadReport load) {
  /** The process is gone, so the connection is refused. */
  static final AttemptResult CONNECTION_REFUSED = new AttemptResult(false, false, null);

  static AttemptResult succeeded(LoadReport load) {
    return new AttemptResult(true, true, load);
  }

  /** The endpoint answered without having executed the request. */
  static AttemptResult rejected(LoadReport load) {
    return new AttemptResult(false, false, load);
  }
}
