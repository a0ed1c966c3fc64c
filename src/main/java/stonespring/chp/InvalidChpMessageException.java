package stonespring.chp;

/** A message that the protocol or the backend does not allow. Its text names command and field. */
public final class InvalidChpMessageException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /** Creates one without a stack trace, as peers may cause it at will. */
  public InvalidChpMessageException(String message) {
    super(message, null, false, false);
  }

  InvalidChpMessageException(String command, String problem) {
    this(command + ": " + problem);
  }
}
