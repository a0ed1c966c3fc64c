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

  /** Whether a value can be the key of a dict. */
  static boolean canBeKey(Object value) {
    return value instanceof String || value instanceof Long || value instanceof Boolean;
  }

  /** Returns the value if it can be the key of a dict; fails otherwise. */
  static Object requireKey(SourceLocation location, Object value) {
    if (!canBeKey(value)) {
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
          "the index must be a whole number within the length of "
              + size
              + ", got "
              + describe(index));
    }
    return (int) (position < 0 ? position + size : position);
  }

  /** Returns an entry of a dict, an item of a list or a character of a string. */
  static Object elementAt(SourceLocation location, Object container, Object index) {
    if (container instanceof ScriptDict dict) {
      if (!canBeKey(index) || !dict.containsKey(index)) {
        throw new EvaluationException(location, "the dict has no key " + describe(index));
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

  /** Describes a value in an error message: a number, text or boolean as such, others by type. */
  private static String describe(Object value) {
    boolean isPlain = value == null || value instanceof Number || canBeKey(value);
    return isPlain ? String.valueOf(value) : typeName(value);
  }

  /** Whether two values are equal; numbers outside of lists and dicts are compared as doubles. */
  static boolean areEqual(
      ExecutionLimits limits, SourceLocation location, Object left, Object right) {
    return left instanceof Number leftNumber && right instanceof Number rightNumber
        ? leftNumber.doubleValue() == rightNumber.doubleValue()
        : areItemsEqual(limits, location, left, right);
  }

  /** Compares values of any depth, and counts a step for each pair of items. */
  private static boolean areItemsEqual(
      ExecutionLimits limits, SourceLocation location, Object left, Object right) {
    limits.countStep(location);
    if (left instanceof ScriptList leftList && right instanceof ScriptList rightList) {
      boolean equal = leftList.size() == rightList.size();
      for (int i = 0; equal && i < leftList.size(); i++) {
        equal = areItemsEqual(limits, location, leftList.get(i), rightList.get(i));
      }
      return equal;
    }
    if (left instanceof ScriptDict leftDict && right instanceof ScriptDict rightDict) {
      boolean equal = leftDict.keySet().equals(rightDict.keySet());
      for (Map.Entry<Object, Object> entry : leftDict.entrySet()) {
        equal =
            equal
                && areItemsEqual(limits, location, entry.getValue(), rightDict.get(entry.getKey()));
      }
      return equal;
    }
    return left == right || isScalar(left) && Objects.equals(left, right);
  }

  private static boolean isScalar(Object value) {
    return value instanceof Number || canBeKey(value);
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
