package stonespring.daemon;

/** The decision module failed; its state can't be trusted any more. */
final class DecisionFailedException extends RuntimeException {
  private static final long serialVersionUID = 1;

  DecisionFailedException(Throwable cause) {
    super(cause);
  }
}
