package stonespring.chp;

/**
 * Thrown for a message that violates CHP or that the backend rejects. The text names command and
 * field.
 */
public final class InvalidChpMessageException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /** Creates an exception without a stack trace, as peers can trigger any number of them. */
  public InvalidChpMessageException(String message) {
    super(message, null, false, false);
  }

  InvalidChpMessageException(String command, String problem) {
    this(command + ": " + problem);
  }
}
