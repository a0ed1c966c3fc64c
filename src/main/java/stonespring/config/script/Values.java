package stonespring.config.script;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Operations common to the values of scripts. A value is null for {@code None}, a {@link Boolean},
 * {@link Long}, {@link Double}, {@link String}, {@link ScriptList}, {@link ScriptDict} or a
 * function.
 */
public final class Values {
  /**
   * Doubles of this magnitude or above are not printed as whole numbers, because large doubles do
   * not represent whole numbers exactly.
   */
  private static final double MAX_PRINTED_AS_WHOLE = 1e15;

  private Values() {}

  /** Whether a value counts as true in a condition. */
  static boolean isTrue(Object value) {
    return !(value == null
        || Boolean.FALSE.equals(value)
        || "".equals(value)
        || Long.valueOf(0).equals(value)
        || Double.valueOf(0).equals(value)
        || value instanceof List<?> list && list.isEmpty()
        || value instanceof Map<?, ?> map && map.isEmpty());
  }

  /** The type of a value as error messages name it. */
  public static String typeName(Object value) {
    if (value == null) {
      return "None";
    } else if (value instanceof String) {
      return "a string";
    } else if (value instanceof Long) {
      return "a whole number";
    } else if (value instanceof Double) {
      return "a floating-point number";
    } else if (value instanceof Boolean) {
      return "a boolean";
    } else if (value instanceof ScriptList) {
      return "a list";
    } else if (value instanceof ScriptDict) {
      return "a dict";
    }
    return "a function";
  }

  /** Formats a number, without a fraction if it is whole. */
  public static String formatNumber(double value) {
    return value == Math.rint(value) && Math.abs(value) < MAX_PRINTED_AS_WHOLE
        ? String.valueOf((long) value)
        : String.valueOf(value);
  }

  /** Returns a copy of the items of a list or of the keys of a dict; fails for other types. */
  static List<Object> items(SourceLocation location, Object value) {
    if (value instanceof ScriptList list) {
      return new ArrayList<>(list);
    }
    if (value instanceof ScriptDict dict) {
      return new ArrayList<>(dict.keySet());
    }
    throw new EvaluationException(
        location, "expected a list or a dict to iterate over, got " + typeName(value));
  }

  /** Returns the value if it can be the key of a dict; fails otherwise. */
  static Object requireKey(SourceLocation location, Object value) {
    if (!(value instanceof String || value instanceof Long || value instanceof Boolean)) {
      throw new EvaluationException(
          location,
          "a dict key must be a string, a whole number or a boolean, got " + typeName(value));
    }
    return value;
  }

  /**
   * Returns the position that an index denotes; a negative index counts from the end. Fails if the
   * index is out of range.
   */
  static int requirePosition(SourceLocation location, Object index, int size) {
    if (!(index instanceof Long position) || position < -size || position >= size) {
      throw new EvaluationException(
          location,
          "the index must be a whole number within the length of " + size + ", got " + index);
    }
    return (int) (position < 0 ? position + size : position);
  }

  /** Returns an entry of a dict, an item of a list or a character of a string. */
  static Object elementAt(SourceLocation location, Object container, Object index) {
    if (container instanceof ScriptDict dict) {
      if (!dict.containsKey(index)) {
        throw new EvaluationException(location, "the dict has no key " + index);
      }
      return dict.get(index);
    }
    if (container instanceof ScriptList list) {
      return list.get(requirePosition(location, index, list.size()));
    }
    if (container instanceof String text) {
      return String.valueOf(text.charAt(requirePosition(location, index, text.length())));
    }
    throw new EvaluationException(
        location, "only a dict, list or string can be indexed, not " + typeName(container));
  }

  /** Whether two values are equal; numbers are compared as doubles. */
  static boolean areEqual(Object left, Object right) {
    return left instanceof Number leftNumber && right instanceof Number rightNumber
        ? leftNumber.doubleValue() == rightNumber.doubleValue()
        : Objects.equals(left, right);
  }

  /** Compares two numbers or two strings as {@link Comparable} does; fails for other types. */
  static int compare(SourceLocation location, Object left, Object right) {
    if (left instanceof Number leftNumber && right instanceof Number rightNumber) {
      return Double.compare(leftNumber.doubleValue(), rightNumber.doubleValue());
    }
    if (left instanceof String leftText && right instanceof String rightText) {
      return leftText.compareTo(rightText);
    }
    throw new EvaluationException(
        location, "cannot compare " + typeName(left) + " with " + typeName(right));
  }
}
