package stonespring.cli;

/**
 * Thrown when a command cannot continue. The program prints the message, which is never null, and
 * exits with the exit code.
 */
final class CommandFailedException extends Exception {
  private static final long serialVersionUID = 1;

  private final int exitCode;

  private CommandFailedException(int exitCode, String message, Throwable cause) {
    super(message, cause);
    this.exitCode = exitCode;
  }

  /** Returns an exception for invalid arguments, or for an invalid file that they name. */
  static CommandFailedException usage(String message) {
    return new CommandFailedException(ExitCode.USAGE, message, null);
  }

  /** Returns the same exception as {@link #usage(String)}, with a cause. */
  static CommandFailedException usage(String message, Throwable cause) {
    return new CommandFailedException(ExitCode.USAGE, message, cause);
  }

  /** Returns an exception for a command that failed in spite of valid arguments. */
  static CommandFailedException failed(String message) {
    return new CommandFailedException(ExitCode.FAILED, message, null);
  }

  /** Returns the same exception as {@link #failed(String)}, with a cause. */
  static CommandFailedException failed(String message, Throwable cause) {
    return new CommandFailedException(ExitCode.FAILED, message, cause);
  }

  int exitCode() {
    return exitCode;
  }
}
