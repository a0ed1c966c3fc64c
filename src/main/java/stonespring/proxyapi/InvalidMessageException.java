package stonespring.proxyapi;

/**
 * A message of a proxy that cannot be used. The text names the kind of message and, if one is at
 * fault, the field. It has no stack trace: it is about the peer.
 */
public final class InvalidMessageException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /** A message that is wrong as a whole. */
  public InvalidMessageException(String messageKind, String problem) {
    super(messageKind + ": " + problem, null, false, false);
  }

  /** A message with a wrong field. */
  public InvalidMessageException(String messageKind, String field, String problem) {
    this(messageKind, "field '" + field + "' " + problem);
  }
}
