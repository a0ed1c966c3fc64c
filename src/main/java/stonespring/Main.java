package stonespring;

import stonespring.cli.Commands;

/** The program's entry. */
public final class Main {
  private Main() {}

  /** Runs the sub-command that the arguments name and exits with its code. */
  public static void main(String[] args) {
    int code = Commands.run(args);
    if (code != 0) {
      System.exit(code);
    }
  }
}
