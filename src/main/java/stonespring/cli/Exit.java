package stonespring.cli;

/** How commands end: 0 good, 1 a broken rule or a failed run, 2 usage or settings. */
final class Exit {
  static final int GOOD = 0;
  static final int FAILED = 1;
  static final int USAGE = 2;

  private Exit() {}

  static int fail(int code, String message) {
    System.err.println("stonespring: " + message);
    return code;
  }
}
