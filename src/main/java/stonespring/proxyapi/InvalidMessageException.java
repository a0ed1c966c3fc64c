package stonespring.proxyapi;

/**
 * Signals that a message from a proxy is invalid. The exception message names the kind of message
 * and, if a single field is invalid, that field. It has no stack trace, because the cause lies with
 * the peer and not with this process.
 */
public final class InvalidMessageException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /** Creates an exception for a message that is invalid as a whole. */
  public InvalidMessageException(String messageKind, String problem) {
    super(messageKind + ": " + problem, null, false, false);
  }

  /** Creates an exception for a message with one invalid field. */
  public InvalidMessageException(String messageKind, String field, String problem) {
    this(messageKind, "field '" + field + "' " + problem);
  }
}
