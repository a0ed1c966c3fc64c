package stonespring;

import stonespring.cli.Commands;

/** The program's entry. */
public final class Main {
  private Main() {}

  public static void main(String[] args) {
    int code = Commands.run(args);
    if (code != 0) {
      System.exit(code);
    }
  }
}
