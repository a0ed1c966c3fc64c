package stonespring.config.script;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * What the values of scripts have in common. A value is null for {@code None}, a {@link Boolean},
 * {@link Long}, {@link Double}, {@link String}, {@link ScriptList}, {@link ScriptDict} or a
 * function.
 */
public final class Values {
  /** Doubles above have no exact whole part to print. */
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

  /** A value's type as error messages name it. */
  public static String typeName(Object value) {
    if (value == null) {
      return "None";
    } else if (value instanceof String) {
      return "a string";
    } else if (value instanceof Long) {
      return "a whole number";
    } else if (value instanceof Double) {
      return "a number";
    } else if (value instanceof Boolean) {
      return "a truth value";
    } else if (value instanceof ScriptList) {
      return "a list";
    } else if (value instanceof ScriptDict) {
      return "a dict";
    }
    return "a function";
  }

  /** A number as people write it: without a fraction where it is whole. */
  public static String formatNumber(double value) {
    return value == Math.rint(value) && Math.abs(value) < MAX_PRINTED_AS_WHOLE
        ? String.valueOf((long) value)
        : String.valueOf(value);
  }

  /** A copy of a list's items or of a dict's keys. */
  static List<Object> items(SourceLocation location, Object value) {
    if (value instanceof ScriptList list) {
      return new ArrayList<>(list);
    }
    if (value instanceof ScriptDict dict) {
      return new ArrayList<>(dict.keySet());
    }
    throw new EvaluationException(
        location, "'for' goes over a list or a dict, not " + typeName(value));
  }

  /** Returns the value if it can be the key of a dict. */
  static Object requireKey(SourceLocation location, Object value) {
    if (!(value instanceof String || value instanceof Long || value instanceof Boolean)) {
      throw new EvaluationException(
          location, "a dict's key is a string or a whole number, not " + typeName(value));
    }
    return value;
  }

  /** The position that an index names; a negative one counts from the end. */
  static int requirePosition(SourceLocation location, Object index, int size) {
    if (!(index instanceof Long position) || position < -size || position >= size) {
      throw new EvaluationException(
          location, "the index " + index + " is outside a list of " + size);
    }
    return (int) (position < 0 ? position + size : position);
  }

  /** The entry of a dict, list or string. */
  static Object entry(SourceLocation location, Object container, Object index) {
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
    throw new EvaluationException(location, typeName(container) + " has no entries");
  }

  /** Whether two values are equal; numbers are compared as floating-point ones. */
  static boolean areEqual(Object left, Object right) {
    return left instanceof Number leftNumber && right instanceof Number rightNumber
        ? leftNumber.doubleValue() == rightNumber.doubleValue()
        : Objects.equals(left, right);
  }

  /** Compares two numbers or two strings, as {@link Comparable} does. */
  static int compare(SourceLocation location, Object left, Object right) {
    if (left instanceof Number leftNumber && right instanceof Number rightNumber) {
      return Double.compare(leftNumber.doubleValue(), rightNumber.doubleValue());
    }
    if (left instanceof String leftText && right instanceof String rightText) {
      return leftText.compareTo(rightText);
    }
    throw new EvaluationException(
        location, typeName(left) + " and " + typeName(right) + " have no order");
  }
}
