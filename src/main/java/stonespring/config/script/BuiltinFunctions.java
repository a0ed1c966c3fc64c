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

  /** The smallest magnitude of a double that does not fit into 64 bits. */
  private static final double TWO_TO_THE_63 = 0x1p63;

  private BuiltinFunctions() {}

  static Set<String> names() {
    return NAMES;
  }

  /**
   * Calls a built-in function. Too few arguments or arguments of a wrong type are reported as an
   * error of the call.
   */
  static Object call(
      ExecutionLimits limits, SourceLocation location, String name, List<Object> arguments) {
    try {
      return callUnchecked(limits, location, name, arguments);
    } catch (IndexOutOfBoundsException
        | ClassCastException
        | NullPointerException
        | NumberFormatException e) {
      throw new EvaluationException(
          location, name + ": too few arguments, or an argument of the wrong type or value");
    }
  }

  private static Object callUnchecked(
      ExecutionLimits limits, SourceLocation location, String name, List<Object> arguments) {
    return switch (name) {
      case "len" -> length(location, arguments.get(0));
      case "range" -> range(limits, location, arguments);
      case "str" -> new TextWriter(limits, location).write(arguments.get(0));
      case "int" -> toLong(location, arguments.get(0));
      case "float" -> toDouble(location, arguments.get(0));
      case "abs" -> absolute(location, arguments.get(0));
      case "min" -> minimum(location, candidates(location, arguments));
      case "max" -> maximum(location, candidates(location, arguments));
      case "sorted" -> sorted(limits, location, arguments.get(0));
      case "list" -> listOf(limits, location, Values.items(location, arguments.get(0)));
      case "enumerate" -> enumerate(limits, location, arguments.get(0));
      case "zip" -> zip(limits, location, arguments);
      case "get" -> get(arguments);
      case "fail" -> throw failure(limits, location, arguments);
      default -> throw new IllegalStateException("unknown built-in function " + name);
    };
  }

  private static long length(SourceLocation location, Object value) {
    return value instanceof String text ? text.length() : Values.items(location, value).size();
  }

  private static ScriptList range(
      ExecutionLimits limits, SourceLocation location, List<Object> arguments) {
    long from = arguments.size() > 1 ? (Long) arguments.get(0) : 0;
    long to = (Long) arguments.get(arguments.size() > 1 ? 1 : 0);
    long step = arguments.size() > 2 ? (Long) arguments.get(2) : 1;
    int count = limits.countRange(location, from, to, step);
    ScriptList list = new ScriptList();
    for (int i = 0; i < count; i++) {
      list.add(from + i * step);
    }
    return list;
  }

  private static Long toLong(SourceLocation location, Object value) {
    if (value instanceof String text) {
      return Long.valueOf(text);
    }
    if (value instanceof Double number && Math.abs(number) >= TWO_TO_THE_63) {
      throw new EvaluationException(location, "int: the number does not fit into 64 bits");
    }
    return ((Number) value).longValue();
  }

  private static Double toDouble(SourceLocation location, Object value) {
    double number =
        value instanceof String text ? Double.parseDouble(text) : ((Number) value).doubleValue();
    if (Double.isNaN(number) || Double.isInfinite(number)) {
      throw new EvaluationException(location, "float: expected a finite number");
    }
    return number;
  }

  private static Object absolute(SourceLocation location, Object value) {
    if (!(value instanceof Long number)) {
      return Math.abs((Double) value);
    }
    if (number == Long.MIN_VALUE) {
      throw new EvaluationException(location, "abs: the result does not fit into 64 bits");
    }
    return Math.abs(number);
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

  private static ScriptList sorted(ExecutionLimits limits, SourceLocation location, Object value) {
    ScriptList sorted = listOf(limits, location, Values.items(location, value));
    sorted.sort((left, right) -> Values.compare(location, left, right));
    return sorted;
  }

  private static ScriptList listOf(
      ExecutionLimits limits, SourceLocation location, List<Object> items) {
    limits.countList(location, items.size());
    ScriptList list = new ScriptList();
    list.addAll(items);
    return list;
  }

  private static ScriptList enumerate(
      ExecutionLimits limits, SourceLocation location, Object value) {
    List<Object> items = Values.items(location, value);
    limits.countList(location, items.size());
    ScriptList pairs = new ScriptList();
    for (int i = 0; i < items.size(); i++) {
      pairs.add(pair(limits, location, (long) i, items.get(i)));
    }
    return pairs;
  }

  private static ScriptList zip(
      ExecutionLimits limits, SourceLocation location, List<Object> arguments) {
    List<Object> first = Values.items(location, arguments.get(0));
    List<Object> second = Values.items(location, arguments.get(1));
    int size = Math.min(first.size(), second.size());
    limits.countList(location, size);
    ScriptList pairs = new ScriptList();
    for (int i = 0; i < size; i++) {
      pairs.add(pair(limits, location, first.get(i), second.get(i)));
    }
    return pairs;
  }

  private static ScriptList pair(
      ExecutionLimits limits, SourceLocation location, Object first, Object second) {
    limits.countList(location, 2);
    ScriptList pair = new ScriptList();
    pair.add(first);
    pair.add(second);
    return pair;
  }

  private static Object get(List<Object> arguments) {
    Object defaultValue = arguments.size() > 2 ? arguments.get(2) : null;
    ScriptDict dict = (ScriptDict) arguments.get(0);
    Object key = arguments.get(1);
    return Values.canBeKey(key) ? dict.getOrDefault(key, defaultValue) : defaultValue;
  }

  private static EvaluationException failure(
      ExecutionLimits limits, SourceLocation location, List<Object> arguments) {
    Object message = arguments.isEmpty() ? "" : arguments.get(0);
    return new EvaluationException(
        location, "fail: " + new TextWriter(limits, location).write(message));
  }
}
