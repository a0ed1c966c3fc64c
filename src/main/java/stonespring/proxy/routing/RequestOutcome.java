package stonespring.proxy.routing;

/**
 * How an attempt at an endpoint ended, and whether that proves that the request was not executed
 * there. A non-idempotent request may be repeated only with such proof. The list is complete: each
 * way in which an attempt over HTTP/1.1 (RFC 9112) and a socket can end is one of these outcomes,
 * and an outcome that leaves doubt proves nothing.
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
   * The endpoint's answer states that it rejected the request before reading it or dropped it
   * before execution began.
   */
  REJECTED_UNREAD(true),
  /**
   * Any other answer. A 4xx or 5xx status alone does not say how far the endpoint got with the
   * request (RFC 9110, section 9.2.2).
   */
  FAILED(false),
  /**
   * The connection was reset, closed or half-closed before the answer was complete, at any byte of
   * the request or the answer. The endpoint may still read the bytes in its buffers after the
   * connection has broken. This includes a reused connection that breaks while the request is being
   * sent, because the two cases can't be told apart.
   */
  CONNECTION_BROKEN(false),
  /**
   * The received bytes are not a valid HTTP answer. Such an endpoint may have executed the request.
   */
  MALFORMED_ANSWER(false),
  /** No complete answer arrived before the timeout, which includes the time for connecting. */
  TIMED_OUT(false);

  /** HTTP status of a successful answer. */
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
