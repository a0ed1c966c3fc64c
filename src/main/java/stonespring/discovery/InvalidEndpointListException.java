package stonespring.discovery;

/** An endpoint list whose content can't be used. The message names the place and the field. */
public final class InvalidEndpointListException extends Exception {
  private static final long serialVersionUID = 1;

  /** The list as a whole, or the message that carried it, is invalid. */
  InvalidEndpointListException(String problem) {
    super(problem, null, false, false);
  }

  /** One place in the list, such as an entry or a line, is invalid. */
  InvalidEndpointListException(String location, String problem) {
    this(location + ": " + problem);
  }

  /** One field of an entry is invalid. */
  InvalidEndpointListException(String location, String field, String problem) {
    this(location, "field '" + field + "' " + problem);
  }

  /** A top-level field of the list's message is invalid. */
  static InvalidEndpointListException ofField(String field, String problem) {
    return new InvalidEndpointListException("field '" + field + "' " + problem);
  }
}
