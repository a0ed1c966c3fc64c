package stonespring.testbed.virtual;

/** How a request ended for its client. */
enum RequestResult {
  SUCCEEDED,
  /** Rejected by admission control. */
  REJECTED,
  /** Answered by the proxy without success. */
  FAILED,
  /** Not answered before its deadline. */
  TIMED_OUT
}
