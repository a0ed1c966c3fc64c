package stonespring.discovery;

/**
 * Signals that the content of an endpoint list is invalid. The message names the entry or line and
 * the field where they are known.
 */
public final class InvalidEndpointListException extends Exception {
  private static final long serialVersionUID = 1;

  /** Reports a problem of the list as a whole, or of the message that contains it. */
  InvalidEndpointListException(String problem) {
    super(problem, null, false, false);
  }

  /** Reports a problem at one location in the list, such as an entry or a line. */
  InvalidEndpointListException(String location, String problem) {
    this(location + ": " + problem);
  }

  /** Reports a problem of one field of an entry. */
  InvalidEndpointListException(String location, String field, String problem) {
    this(location, "field '" + field + "' " + problem);
  }

  /** Creates an exception for a top-level field of the message that contains the list. */
  static InvalidEndpointListException ofField(String field, String problem) {
    return new InvalidEndpointListException("field '" + field + "' " + problem);
  }
}
