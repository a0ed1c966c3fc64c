package stonespring.cli;

/** Exit codes of commands. */
final class ExitCode {
  /** The command did what it was asked. */
  static final int OK = 0;

  /** It failed, or found a broken rule. */
  static final int FAILED = 1;

  /** Its arguments or settings can't be used. */
  static final int USAGE = 2;

  private ExitCode() {}

  /** Prints an error message and returns the code. */
  static int printError(int code, String message) {
    System.err.println("stonespring: " + message);
    return code;
  }
}
