package stonespring.config.script;

/** Thrown to abandon the statement being parsed, after its error has been recorded. */
final class ParseAbortedException extends RuntimeException {
  private static final long serialVersionUID = 1;

  ParseAbortedException() {
    super(null, null, false, false);
  }
}
