package stonespring.cli;

/** A command can't go on; its message, never null, is printed and its exit code returned. */
final class CommandFailedException extends Exception {
  private static final long serialVersionUID = 1;

  private final int exitCode;

  private CommandFailedException(int exitCode, String message, Throwable cause) {
    super(message, cause);
    this.exitCode = exitCode;
  }

  /** Arguments or a file that they name can't be used. */
  static CommandFailedException usage(String message) {
    return new CommandFailedException(ExitCode.USAGE, message, null);
  }

  /** As {@link #usage(String)}, where an exception says why. */
  static CommandFailedException usage(String message, Throwable cause) {
    return new CommandFailedException(ExitCode.USAGE, message, cause);
  }

  /** The command was started and did not succeed. */
  static CommandFailedException failed(String message) {
    return new CommandFailedException(ExitCode.FAILED, message, null);
  }

  /** As {@link #failed(String)}, where an exception says why. */
  static CommandFailedException failed(String message, Throwable cause) {
    return new CommandFailedException(ExitCode.FAILED, message, cause);
  }

  int exitCode() {
    return exitCode;
  }
}
