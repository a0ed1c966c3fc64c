package stonespring.cli;

/** The exit codes of commands. */
final class ExitCode {
  /** The command succeeded. */
  static final int OK = 0;

  /** The command failed, or a scenario violated an invariant. */
  static final int FAILED = 1;

  /** The arguments of the command, or a file that they name, are invalid. */
  static final int USAGE = 2;

  private ExitCode() {}

  /** Prints an error message to standard error and returns the exit code. */
  static int printError(int code, String message) {
    System.err.println("stonespring: " + message);
    return code;
  }
}
