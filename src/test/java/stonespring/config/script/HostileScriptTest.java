package stonespring.config.script;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that scripts which would use up memory, stack, time or the range of numbers end in an error
 * at their line.
 */
final class HostileScriptTest {
  @TempDir private Path folder;

  private Path writeScript(String text) throws Exception {
    return Files.writeString(folder.resolve("s.star"), text);
  }

  private String firstError(String text) throws Exception {
    Path file = writeScript(text);
    ScriptException e = assertThrows(ScriptException.class, () -> Script.run(file));
    return e.errors().get(0).toString().substring(file.toString().length() + 1);
  }

  @ParameterizedTest
  @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          x = [1, 2] * 6917529027641081857                      | 1:12: a list, dict or string exceeds
          x = range(9223372036854775806, 9223372036854775807, 4) * 2 ** 2 | 1:
          x = range(0 - 9223372036854775807, 9223372036854775807) | 1:5: range: expected a step
          x = abs(0 - 9223372036854775807 - 1)                  | 1:5: abs: the result
          x = (0 - 9223372036854775807 - 1) // (0 - 1)          | 1:35: the result is out of
          x = 0 - 9223372036854775807 - 1;y = -x                | 2:5: the result is out of
          x = float('NaN')                                      | 1:5: float: expected a finite number
          x = int(1e300)                                        | 1:5: int: the number
          x = [0];for i in range(64):;  x = [x, x];y = str(x)   | 4:5: a
          x = [0];for i in range(64):;  x = [x, x];y = [0];for i in range(64):;  y = [y, y];z = x == y | 7:7: the script exceeds the limit of 1000000 steps
          x = [0];for i in range(64):;  x = [x, x]              | 3:3: the value is nested more than
          x = [0];x[0] = x                                      | 1:1: the value is nested more than
          x = [0];x[0] = x;y = str(x)                           | 3:5: a value that is nested more than
          x = [[0] * 1000 for i in range(100000)]               | 1:
          """)
  void endsInErrorAtItsLine(String text, String expected) throws Exception {
    String error = firstError(text.replace(";", "\n"));
    assertTrue(error.startsWith(expected.strip()), error);
  }

  @Test
  void endsInErrorAtItsLineWhenTheChainIsTooLongForTheStack() throws Exception {
    assertTrue(
        firstError("a = 1\nx = " + "1 + ".repeat(100_000) + "1\n").startsWith("2:"),
        "the error is at line 2");
  }

  @Test
  void comparesValuesThatContainThemselvesWithoutEnd() throws Exception {
    String error = firstError("x = [0]\nx[0] = x\ny = [0]\ny[0] = y\nz = x == y\n");
    assertTrue(error.startsWith("5:"), error);
  }

  @Test
  void emptyListTimesAnyNumberIsEmptyAtOnce() throws Exception {
    assertEquals(List.of(), Script.run(writeScript("x = [] * 4611686018427387904")).get("x"));
    assertEquals(
        List.of(9223372036854775806L),
        Script.run(writeScript("x = range(9223372036854775806, 9223372036854775807, 4)")).get("x"));
  }

  @Test
  void writesFunctionsByName() throws Exception {
    assertEquals(
        "[<function f>, <function len>]",
        Script.run(writeScript("def f():\n    return f\nx = str([f, len])")).get("x"));
  }

  /** A backslash before a line end must not hide the line end from the count of lines. */
  @Test
  void countsLinesAfterBackslashAtLineEnd() throws Exception {
    Path file = writeScript("a = 'b\\\nc = = 2\n");
    ScriptException e = assertThrows(ScriptException.class, () -> Script.run(file));
    List<String> errors =
        e.errors().stream()
            .map(error -> error.toString().substring(file.toString().length() + 1))
            .toList();
    assertEquals("1:5: missing closing quote: a string must end on its line", errors.get(0));
    assertTrue(errors.get(1).startsWith("2:5: expected a value, found '='"), errors.toString());
  }

  /** Runs in a JVM of its own with a small heap and stack. */
  @Test
  void endsEveryRandomScriptWithValuesOrAnErrorInSmallHeapAndStack() throws Exception {
    Path output = folder.resolve("output");
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-Xss512k",
                "-cp",
                System.getProperty("java.class.path"),
                ScriptFuzzer.class.getName(),
                folder.resolve("fuzz.star").toString(),
                "1",
                "20000")
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .start();
    boolean ended = process.waitFor(5, TimeUnit.MINUTES);
    process.destroyForcibly();
    String text = Files.readString(output, StandardCharsets.UTF_8);
    assertTrue(ended && process.exitValue() == 0, text);
    assertTrue(text.contains(" values, "), text);
  }
}
