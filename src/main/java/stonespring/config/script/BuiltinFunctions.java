package stonespring.config.script;

import java.util.List;
import java.util.Set;

/** The built-in functions of the language. */
final class BuiltinFunctions {
  private static final Set<String> NAMES =
      Set.of(
          "len",
          "range",
          "str",
          "int",
          "float",
          "min",
          "max",
          "sorted",
          "enumerate",
          "fail",
          "abs",
          "list",
          "get",
          "zip");

  private BuiltinFunctions() {}

  static Set<String> names() {
    return NAMES;
  }

  /**
   * Calls a built-in function. Too few arguments or arguments of a wrong type are reported as an
   * error of the call.
   */
  static Object call(SourceLocation location, String name, List<Object> arguments) {
    try {
      return callUnchecked(location, name, arguments);
    } catch (IndexOutOfBoundsException
        | ClassCastException
        | NullPointerException
        | NumberFormatException e) {
      throw new EvaluationException(
          location, name + ": too few arguments, or an argument of the wrong type or value");
    }
  }

  private static Object callUnchecked(
      SourceLocation location, String name, List<Object> arguments) {
    return switch (name) {
      case "len" -> length(location, arguments.get(0));
      case "range" -> range(location, arguments);
      case "str" -> toText(arguments.get(0));
      case "int" -> toLong(arguments.get(0));
      case "float" -> toDouble(arguments.get(0));
      case "abs" -> absolute(arguments.get(0));
      case "min" -> minimum(location, candidates(location, arguments));
      case "max" -> maximum(location, candidates(location, arguments));
      case "sorted" -> sorted(location, arguments.get(0));
      case "list" -> listOf(Values.items(location, arguments.get(0)));
      case "enumerate" -> enumerate(location, arguments.get(0));
      case "zip" -> zip(location, arguments);
      case "get" -> get(arguments);
      case "fail" -> throw failure(location, arguments);
      default -> throw new IllegalStateException("unknown built-in function " + name);
    };
  }

  private static long length(SourceLocation location, Object value) {
    return value instanceof String text ? text.length() : Values.items(location, value).size();
  }

  private static ScriptList range(SourceLocation location, List<Object> arguments) {
    long from = arguments.size() > 1 ? (Long) arguments.get(0) : 0;
    long to = (Long) arguments.get(arguments.size() > 1 ? 1 : 0);
    long step = arguments.size() > 2 ? (Long) arguments.get(2) : 1;
    ExecutionLimits.checkRange(location, from, to, step);
    ScriptList list = new ScriptList();
    for (long i = from; step > 0 ? i < to : i > to; i += step) {
      list.add(i);
    }
    return list;
  }

  private static String toText(Object value) {
    return value instanceof Double number ? Values.formatNumber(number) : String.valueOf(value);
  }

  private static Long toLong(Object value) {
    return value instanceof String text ? Long.valueOf(text) : (Long) ((Number) value).longValue();
  }

  private static Double toDouble(Object value) {
    return value instanceof String text
        ? Double.valueOf(text)
        : (Double) ((Number) value).doubleValue();
  }

  private static Object absolute(Object value) {
    return value instanceof Long number
        ? (Object) Math.abs(number)
        : (Object) Math.abs((Double) value);
  }

  /**
   * The values among which {@code min} or {@code max} chooses: the items of a single argument, or
   * the arguments themselves.
   */
  private static List<Object> candidates(SourceLocation location, List<Object> arguments) {
    return arguments.size() == 1 ? Values.items(location, arguments.get(0)) : arguments;
  }

  private static Object minimum(SourceLocation location, List<Object> candidates) {
    Object best = candidates.get(0);
    for (Object candidate : candidates) {
      best = Values.compare(location, candidate, best) < 0 ? candidate : best;
    }
    return best;
  }

  private static Object maximum(SourceLocation location, List<Object> candidates) {
    Object best = candidates.get(0);
    for (Object candidate : candidates) {
      best = Values.compare(location, candidate, best) > 0 ? candidate : best;
    }
    return best;
  }

  private static ScriptList sorted(SourceLocation location, Object value) {
    ScriptList sorted = listOf(Values.items(location, value));
    sorted.sort((left, right) -> Values.compare(location, left, right));
    return sorted;
  }

  private static ScriptList listOf(List<Object> items) {
    ScriptList list = new ScriptList();
    list.addAll(items);
    return list;
  }

  private static ScriptList enumerate(SourceLocation location, Object value) {
    List<Object> items = Values.items(location, value);
    ScriptList pairs = new ScriptList();
    for (int i = 0; i < items.size(); i++) {
      pairs.add(pair((long) i, items.get(i)));
    }
    return pairs;
  }

  private static ScriptList zip(SourceLocation location, List<Object> arguments) {
    List<Object> first = Values.items(location, arguments.get(0));
    List<Object> second = Values.items(location, arguments.get(1));
    ScriptList pairs = new ScriptList();
    for (int i = 0; i < Math.min(first.size(), second.size()); i++) {
      pairs.add(pair(first.get(i), second.get(i)));
    }
    return pairs;
  }

  private static ScriptList pair(Object first, Object second) {
    ScriptList pair = new ScriptList();
    pair.add(first);
    pair.add(second);
    return pair;
  }

  private static Object get(List<Object> arguments) {
    Object defaultValue = arguments.size() > 2 ? arguments.get(2) : null;
    return ((ScriptDict) arguments.get(0)).getOrDefault(arguments.get(1), defaultValue);
  }

  private static EvaluationException failure(SourceLocation location, List<Object> arguments) {
    Object message = arguments.isEmpty() ? "" : arguments.get(0);
    return new EvaluationException(location, "fail: " + message);
  }
}
