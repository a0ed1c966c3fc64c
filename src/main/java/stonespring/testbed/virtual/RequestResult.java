package stonespring.testbed.virtual;

/** The result of a request as seen by its client, after all retries. */
enum RequestResult {
  /** Answered successfully, within the latency objective or not. */
  SUCCEEDED,
  /** Rejected by the proxy's admission control. */
  REJECTED,
  /** Answered with an error by the proxy. */
  FAILED,
  /** Not answered before its deadline. */
  TIMED_OUT
}
