package stonespring.config.script;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SplittableRandom;

/**
 * Runs random scripts that are made to use up memory, stack or the range of numbers. Prints the
 * number of scripts that ended with values and with errors; any other end fails the process.
 */
final class ScriptFuzzer {
  private static final String[] LEAVES = {
    "0",
    "1",
    "-1",
    "2.5",
    "1e308",
    "9223372036854775807",
    "-9223372036854775807 - 1",
    "99999",
    "''",
    "'ab'",
    "[]",
    "[0]",
    "{}",
    "{'k': 1}",
    "None",
    "True",
    "x",
    "y",
    "f",
    "len",
    "str"
  };
  private static final String[] OPERATORS = {
    "+", "-", "*", "/", "//", "%", "==", "!=", "<", "in", "and", "or"
  };
  private static final String[] FUNCTIONS = {
    "len",
    "range",
    "str",
    "int",
    "float",
    "min",
    "max",
    "sorted",
    "enumerate",
    "abs",
    "list",
    "get",
    "zip",
    "f"
  };
  private static final int MAX_DEPTH = 4;

  private final SplittableRandom random;

  private ScriptFuzzer(long seed) {
    this.random = new SplittableRandom(seed);
  }

  /** Arguments: a file to write scripts to, the first seed and the number of scripts. */
  public static void main(String[] args) throws IOException {
    Path file = Path.of(args[0]);
    long firstSeed = Long.parseLong(args[1]);
    int count = Integer.parseInt(args[2]);
    int values = 0;
    for (long seed = firstSeed; seed < firstSeed + count; seed++) {
      Files.writeString(file, new ScriptFuzzer(seed).script());
      try {
        Script.run(file);
        values++;
      } catch (ScriptException e) {
        if (!e.getMessage().startsWith(file + ":")) {
          throw new IllegalStateException("seed " + seed + ": no location in " + e.getMessage(), e);
        }
      } catch (RuntimeException | Error e) {
        throw new IllegalStateException("seed " + seed + " ended with " + e.getClass(), e);
      }
    }
    System.out.println(values + " values, " + (count - values) + " errors");
  }

  private <T> T pick(T[] items) {
    return items[random.nextInt(items.length)];
  }

  private String script() {
    StringBuilder script = new StringBuilder("x = [0]\ny = {'k': x}\n");
    script.append("def f(a=1):\n    return [a, a]\n");
    int statements = 1 + random.nextInt(6);
    for (int i = 0; i < statements; i++) {
      script.append(statement());
    }
    return script.toString();
  }

  private String statement() {
    return switch (random.nextInt(8)) {
      case 0 -> "x = [x, x]\n";
      case 1 -> "x[0] = " + expression(1) + "\n";
      case 2 -> "y['k'] = " + expression(1) + "\n";
      case 3 -> "for i in range(" + (1 << random.nextInt(10)) + "):\n    x = [x, x]\n";
      case 4 -> "for i in " + expression(2) + ":\n    x = " + expression(1) + "\n";
      case 5 -> "y = " + chain() + "\n";
      case 6 -> "z = '" + "\\n".repeat(random.nextInt(3)) + (random.nextBoolean() ? "\\\n" : "'\n");
      default -> "y = " + expression(0) + "\n";
    };
  }

  private String chain() {
    int length = 1 << random.nextInt(14);
    return ("1 " + pick(OPERATORS) + " ").repeat(length) + "1";
  }

  private String expression(int depth) {
    if (depth >= MAX_DEPTH) {
      return pick(LEAVES);
    }
    return switch (random.nextInt(7)) {
      case 0 -> "[" + expression(depth + 1) + ", " + expression(depth + 1) + "]";
      case 1 ->
          "(" + expression(depth + 1) + " " + pick(OPERATORS) + " " + expression(depth + 1) + ")";
      case 2 -> pick(FUNCTIONS) + "(" + expression(depth + 1) + ")";
      case 3 -> pick(FUNCTIONS) + "(" + expression(depth + 1) + ", " + expression(depth + 1) + ")";
      case 4 -> "[" + expression(depth + 1) + " for i in " + expression(depth + 1) + "]";
      case 5 -> "(-" + expression(depth + 1) + ")";
      default -> pick(LEAVES);
    };
  }
}
