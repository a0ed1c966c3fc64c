package stonespring.proxy.routing;

/**
 * How an attempt at an endpoint ended, and whether that proves that the request was not executed
 * there. Only proof lets a non-idempotent request be repeated. The list is complete: every end that
 * HTTP/1.1 (RFC 9112) and a socket can show is one of these, and what is in doubt is no proof.
 */
public enum RequestOutcome {
  /** An answer with status 200. */
  SUCCEEDED(false),
  /**
   * No connection was made: refused, unreachable, or not accepted in time. No byte of the request
   * was sent.
   */
  NOT_CONNECTED(true),
  /**
   * The endpoint's own statement, with its answer, that it refused the request before reading it or
   * dropped it before it began.
   */
  REJECTED_UNREAD(true),
  /**
   * Any other answer: 4xx or 5xx alone does not say how far the endpoint came (RFC 9110, section
   * 9.2.2).
   */
  FAILED(false),
  /**
   * Reset, closed or half-closed before a whole answer, at whatever byte of the request or the
   * answer. What was sent may lie in the endpoint's buffers and be read after the break, and a kept
   * connection that breaks as the request goes out looks the same.
   */
  CONNECTION_BROKEN(false),
  /** Bytes that are no answer: who sends such may have done anything. */
  MALFORMED_ANSWER(false),
  /** No answer in time, a connection that was being made included. */
  TIMED_OUT(false);

  /** The status of a successful answer. */
  private static final int OK = 200;

  private final boolean provesNotExecuted;

  RequestOutcome(boolean provesNotExecuted) {
    this.provesNotExecuted = provesNotExecuted;
  }

  /**
   * The outcome of an answer.
   *
   * @param saysNotExecuted whether the answer states that the request was not executed
   */
  public static RequestOutcome ofAnswer(int status, boolean saysNotExecuted) {
    if (status == OK) {
      return SUCCEEDED;
    }
    return saysNotExecuted ? REJECTED_UNREAD : FAILED;
  }

  /** Whether it is certain that the request was not executed. */
  public boolean provesNotExecuted() {
    return provesNotExecuted;
  }
}
