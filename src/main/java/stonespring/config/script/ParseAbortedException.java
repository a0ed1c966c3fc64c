package stonespring.config.script;

/** Abandons the statement being parsed; its error has been recorded. */
final class ParseAbortedException extends RuntimeException {
  private static final long serialVersionUID = 1;

  ParseAbortedException() {
    super(null, null, false, false);
  }
}
