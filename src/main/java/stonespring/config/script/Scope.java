package stonespring.config.script;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * The names that are visible to a statement or expression.
 *
 * @param locals the names that assignments set: those of a function, or the globals at the top
 *     level
 * @param globals the names of the file
 * @param file the file being executed; null in a function
 */
record Scope(Map<String, Object> locals, Map<String, Object> globals, Path file) {
  static Scope ofFile(Path file, Map<String, Object> globals) {
    return new Scope(globals, globals, file);
  }

  static Scope ofFunction(Map<String, Object> arguments, Map<String, Object> globals) {
    return new Scope(arguments, globals, null);
  }

  /**
   * Returns a copy of this scope whose new names are not visible outside, as a comprehension needs.
   */
  Scope nested() {
    return new Scope(new HashMap<>(locals), globals, file);
  }

  boolean isTopLevel() {
    return locals == globals;
  }

  void set(String name, Object value) {
    locals.put(name, value);
  }
}
