package stonespring.daemon;

/**
 * Thrown if a decision engine fails while it handles an event or ends a batch. Its state is
 * unreliable from then on. The cause is what the engine threw and is never null.
 */
final class DecisionFailedException extends RuntimeException {
  private static final long serialVersionUID = 1;

  DecisionFailedException(Throwable cause) {
    super(cause);
  }
}
