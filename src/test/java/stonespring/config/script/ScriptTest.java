package stonespring.config.script;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ScriptTest {
  @TempDir private Path folder;

  private Path writeScript(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name), text);
  }

  /** Runs a script and returns the value of its variable {@code x}. */
  private Object run(String text) throws Exception {
    return Script.run(writeScript("s.star", text)).get("x");
  }

  /** Runs a script that must fail and returns its errors, each without the path of the file. */
  private List<String> errors(String text) throws IOException {
    Path file = writeScript("s.star", text);
    ScriptException e = assertThrows(ScriptException.class, () -> Script.run(file));
    return e.errors().stream()
        .map(error -> error.toString().substring(file.toString().length() + 1))
        .toList();
  }

  @Test
  void evaluatesExpressionsAndStatements() throws Exception {
    assertEquals(7L, run("x = 1 + 2 * 3"));
    assertEquals(3.5, run("x = 7 / 2"));
    assertEquals(-4L, run("x = -7 // 2"));
    assertEquals(1L, run("x = -7 % 2 if not False and 1 in [1] else 0"));
    assertEquals("ab", run("x = 'a' + \"b\""));
    assertEquals(List.of(0L, 4L, 16L), run("x = [i * i for i in range(5) if i % 2 == 0]"));
    assertEquals(
        List.of("a1", "a2", "b1", "b2"),
        run("x = [a + str(n) for a in ['a', 'b'] for n in [1, 2]]"));
    assertEquals(6L, run("def f(a, b=2):\n    return a * b\nx = f(3)"));
    assertEquals(
        10L, run("x = 0\nfor i in range(100):\n    if i == 5:\n        break\n    x += i"));
    assertEquals(3L, run("d = {'a': 1}\nd['b'] = 2\nx = d['a'] + get(d, 'b')"));
    assertEquals(3L, run("x = max(1, 3, 2)"));
    assertEquals(2L, run("x = len(zip([1, 2], ['a', 'b']))"));
  }

  @Test
  void loadsDefinedNamesFromFilesInTheSameFolderOnly() throws Exception {
    writeScript(
        "base.star", "_hidden = 2\nshared = _hidden + 1\ndef twice(n):\n    return 2 * n\n");
    assertEquals(6L, run("load('base.star', 'shared', 'twice')\nx = twice(shared)"));
    assertTrue(errors("load('base.star', 'shard')").get(0).contains("did you mean 'shared'?"));
    assertTrue(errors("load('../base.star', 'shared')").get(0).contains("same folder"));
    writeScript("a.star", "load('s.star', 'x')\ny = 1");
    assertTrue(errors("load('a.star', 'y')\nx = y").get(0).contains("loads itself"));
  }

  @Test
  void reportsEverySyntaxErrorInOneRun() throws Exception {
    List<String> errors = errors("a = = 1\nwhile True:\n    pass\nb = [1, 2\nc = 3\n");
    assertTrue(errors.get(0).startsWith("1:5: expected a value, found '='"), errors.toString());
    assertTrue(
        errors.stream()
            .anyMatch(
                error -> error.startsWith("2:1: 'while' is not supported in settings scripts")),
        errors.toString());
    assertTrue(errors.size() >= 3, errors.toString());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "x = 1 / 0|1:7: division by zero",
        "x = nam|1:5: 'nam' is not defined",
        "x = 9223372036854775807 + 1|1:25: the result is out of the range of numbers",
        "x = [1][3]|1:8: the index must be a whole number within the length of 1, got 3",
        "x = {'a': 1, 'a': 2}|1:14: duplicate key a",
        "x = 'a' + 1|1:9: '+' cannot be applied to a string and a whole number",
        "x = len(1)|1:5: expected a list or a dict to iterate over",
        "x = fail('stop here')|1:5: fail: stop here",
        "x = range(1000000000)|1:5: range: expected a step other than 0 and at most 100000 items,"
            + " got a range from 0 to 1000000000 with step 1",
      })
  void reportsTheLocationOfEvaluationErrors(String text, String expected) throws Exception {
    List<String> errors = errors(text);
    assertTrue(errors.get(0).startsWith(expected), errors.toString());
  }

  @Test
  void boundsStepsNestingSizesAndRecursion() throws Exception {
    assertTrue(errors("def f(n):\n    return f(n)\nx = f(1)").get(0).contains("calls itself"));
    assertTrue(
        errors("x = 0\nfor a in range(5000):\n    for b in range(5000):\n        x += 1")
            .get(0)
            .contains("steps"));
    assertTrue(
        errors("x = " + "(".repeat(5000) + "1" + ")".repeat(5000))
            .get(0)
            .contains("nested more than"));
    assertTrue(errors("x = [1]\nfor i in range(64):\n    x = x + x").get(0).contains("items"));
    assertTrue(errors("x = " + "-".repeat(5000) + "1").get(0).contains("nested"));
    assertTrue(errors("x = " + "not ".repeat(5000) + "1").get(0).contains("nested"));
  }

  /** A script of random tokens terminates, either with values or with a {@link ScriptException}. */
  @Property(tries = 300, seed = "1")
  void endsWithValuesOrScriptExceptionWhenTextIsArbitrary(@ForAll long seed) throws IOException {
    SplittableRandom random = new SplittableRandom(seed);
    String[] words = {
      "x", "=", "1", "(", ")", "[", "]", "{", "}", ":", ",", "if", "else", "for", "in", "def",
      "return", "\n", "    ", "'a'", "+", "-", "not", "and", "load", "range", "pass", "0.5", "#",
      "\\", "\t", "elif", "break", "len"
    };
    StringBuilder text = new StringBuilder();
    for (int i = random.nextInt(60); i > 0; i--) {
      text.append(words[random.nextInt(words.length)]).append(random.nextBoolean() ? " " : "");
    }
    Path file = Files.createTempFile("stonespring", ".star");
    try {
      Files.writeString(file, text);
      Script.run(file);
    } catch (ScriptException e) {
      assertTrue(!e.errors().isEmpty());
    } finally {
      Files.delete(file);
    }
  }
}
