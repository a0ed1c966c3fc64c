package stonespring;

import stonespring.cli.Commands;

/** The entry point of the program. */
public final class Main {
  private Main() {}

  /** Runs the sub-command that the arguments select; exits with its exit code unless that is 0. */
  public static void main(String[] args) {
    int code = Commands.run(args);
    if (code != 0) {
      System.exit(code);
    }
  }
}
