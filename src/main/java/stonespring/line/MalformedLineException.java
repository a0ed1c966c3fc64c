package stonespring.line;

/** A peer's bytes are no line: nothing that follows on its connection has a meaning. */
public final class MalformedLineException extends RuntimeException {
  private static final long serialVersionUID = 1;

  public MalformedLineException(String message) {
    super(message, null, false, false);
  }
}
