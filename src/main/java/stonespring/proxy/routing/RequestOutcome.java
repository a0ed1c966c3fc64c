package stonespring.proxy.routing;

/**
 * How a try at a task ended, and whether that proves that the op never ran there. Only proof lets a
 * once-only op be tried again. The list is whole: every end that HTTP/1.1 (RFC 9112) and a socket
 * can show is one of these, and what is in doubt is no proof.
 */
public enum RequestOutcome {
  /** An answer with status 200. */
  GOOD(false),
  /**
   * No connection was made: refused, unreachable, or not accepted in time. No byte of the op was
   * sent.
   */
  UNREACHED(true),
  /**
   * The task's word, with its answer, that it refused the op before reading it or dropped it before
   * it began.
   */
  REFUSED_UNREAD(true),
  /**
   * Any other answer: 4xx or 5xx alone does not say how far the task came (RFC 9110, section
   * 9.2.2).
   */
  FAILED(false),
  /**
   * Reset, closed or half-closed before a whole answer, at whatever byte of the op or the answer.
   * What was sent may lie in the task's buffers and be read after the break, and a kept connection
   * that breaks as the op goes out looks the same.
   */
  BROKEN(false),
  /** Bytes that are no answer: who sends such may have done anything. */
  GARBLED(false),
  /** No answer in time, a connection on its way included. */
  TIMED_OUT(false);

  private final boolean proof;

  RequestOutcome(boolean proof) {
    this.proof = proof;
  }

  /** An answer came. */
  public static RequestOutcome answered(int status, boolean saysNotRun) {
    return status == 200 ? GOOD : saysNotRun ? REFUSED_UNREAD : FAILED;
  }

  /** Whether the op certainly never ran. */
  public boolean neverRan() {
    return proof;
  }
}
