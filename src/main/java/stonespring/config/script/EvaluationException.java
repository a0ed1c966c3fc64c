package stonespring.config.script;

/** Thrown to end the execution of a script at its first error. It does not leave the package. */
final class EvaluationException extends RuntimeException {
  private static final long serialVersionUID = 1;
  private final transient SettingsError error;

  EvaluationException(SourceLocation location, String message) {
    super(message, null, false, false);
    this.error = new SettingsError(location, message);
  }

  SettingsError error() {
    return error;
  }
}
