package stonespring.daemon;

/**
 * A decision engine threw while it handled an event or ended a batch; its state can't be relied on
 * any more. The cause, never null, is what the engine threw.
 */
final class DecisionFailedException extends RuntimeException {
  private static final long serialVersionUID = 1;

  DecisionFailedException(Throwable cause) {
    super(cause);
  }
}
