package stonespring.daemon;

/** The decision module failed; its state can't be trusted any more. */
final class DecisionFailed extends RuntimeException {
  private static final long serialVersionUID = 1;

  DecisionFailed(Throwable cause) {
    super(cause);
  }
}
