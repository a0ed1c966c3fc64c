package stonespring.config.script;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Runs settings scripts. */
public final class Script {
  private Script() {}

  /**
   * Runs a script.
   *
   * @return the names that the script sets at its top level, except functions and names that start
   *     with an underscore
   * @throws ScriptException if the script has errors: all syntax errors, or the first error of its
   *     execution
   */
  public static ScriptDict run(Path file) throws ScriptException {
    SourceLocation startOfFile = new SourceLocation(file.toString(), 1, 1);
    ScriptLoader loader = new ScriptLoader(startOfFile);
    ScriptDict exported = new ScriptDict();
    List<SettingsError> errors = new ArrayList<>();
    try {
      for (Map.Entry<String, Object> global : loader.load(file, startOfFile).entrySet()) {
        String name = global.getKey();
        if (!name.startsWith("_") && !(global.getValue() instanceof UserFunction)) {
          SourceLocation location = loader.locationOf(name, startOfFile);
          new ValueSizeChecker(location).check(global.getValue());
          exported.put(name, global.getValue(), location);
        }
      }
    } catch (EvaluationException e) {
      errors.add(e.error());
    } catch (StackOverflowError e) {
      // A chain of thousands of operators, or a comparison of values that contain themselves.
      errors.add(
          new SettingsError(
              loader.lastLocation(), "an expression or a value is nested too deeply"));
    }
    errors.addAll(0, loader.errors());
    if (!errors.isEmpty()) {
      throw new ScriptException(errors);
    }
    return exported;
  }
}
