package stonespring.line;

/** A peer's bytes are no line: nothing that follows on its connection has a meaning. */
public final class LineFault extends RuntimeException {
  private static final long serialVersionUID = 1;

  public LineFault(String message) {
    super(message, null, false, false);
  }
}
