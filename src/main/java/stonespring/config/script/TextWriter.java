package stonespring.config.script;

import java.util.Map;

/** Writes a value as text of limited length and depth. An instance writes one value. */
final class TextWriter {
  private static final int MAX_DEPTH = 100;

  private final ExecutionLimits limits;
  private final SourceLocation location;
  private final StringBuilder text = new StringBuilder();

  /** Creates a writer whose errors have the given location. */
  TextWriter(ExecutionLimits limits, SourceLocation location) {
    this.limits = limits;
    this.location = location;
  }

  /** Returns the value as text; fails if it is too long or nested too deeply. */
  String write(Object value) {
    if (value instanceof Double number) {
      return Values.formatNumber(number);
    }
    append(value, 0);
    return text.toString();
  }

  private void append(Object value, int depth) {
    if (depth > MAX_DEPTH) {
      throw new EvaluationException(
          location,
          "a value that is nested more than "
              + MAX_DEPTH
              + " levels deep can't be written as text");
    }
    if (value instanceof ScriptList list) {
      appendList(list, depth);
    } else if (value instanceof ScriptDict dict) {
      appendDict(dict, depth);
    } else if (value instanceof Builtin builtin) {
      append("<function " + builtin.name() + ">");
    } else if (value instanceof UserFunction function) {
      append("<function " + function.definition().name() + ">");
    } else {
      append(String.valueOf(value));
    }
  }

  private void append(String part) {
    text.append(part);
    limits.countAppendedText(location, text.length(), part.length());
  }

  private void appendList(ScriptList list, int depth) {
    append("[");
    String separator = "";
    for (Object item : list) {
      append(separator);
      append(item, depth + 1);
      separator = ", ";
    }
    append("]");
  }

  private void appendDict(ScriptDict dict, int depth) {
    append("{");
    String separator = "";
    for (Map.Entry<Object, Object> entry : dict.entrySet()) {
      append(separator + entry.getKey() + "=");
      append(entry.getValue(), depth + 1);
      separator = ", ";
    }
    append("}");
  }
}
