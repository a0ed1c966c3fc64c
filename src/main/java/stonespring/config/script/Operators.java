package stonespring.config.script;

/** Applies operators to values. */
final class Operators {
  private static final String OVERFLOW = "the result is out of the range of numbers";

  private Operators() {}

  /** Applies a unary operator to its evaluated operand. */
  static Object applyUnary(Expression.Unary expression, Object operand) {
    if (expression.operator() == UnaryOperator.NOT) {
      return !Values.isTrue(operand);
    }
    if (!(operand instanceof Number)) {
      throw new EvaluationException(
          expression.location(),
          "'"
              + expression.operator().symbol()
              + "' requires a number, got "
              + Values.typeName(operand));
    }
    if (expression.operator() == UnaryOperator.PLUS) {
      return operand;
    }
    return operand instanceof Long number ? (Object) (-number) : (Object) (-(Double) operand);
  }

  /**
   * Applies a binary operator to two evaluated operands. AND and OR are handled by {@link
   * ExpressionEvaluator}, since they need not evaluate the right operand.
   */
  static Object applyBinary(
      SourceLocation location, BinaryOperator operator, Object left, Object right) {
    return switch (operator) {
      case EQUAL -> Values.areEqual(left, right);
      case NOT_EQUAL -> !Values.areEqual(left, right);
      case IN -> contains(location, right, left);
      case NOT_IN -> !contains(location, right, left);
      case LESS -> Values.compare(location, left, right) < 0;
      case GREATER -> Values.compare(location, left, right) > 0;
      case LESS_OR_EQUAL -> Values.compare(location, left, right) <= 0;
      case GREATER_OR_EQUAL -> Values.compare(location, left, right) >= 0;
      default ->
          left instanceof Number leftNumber && right instanceof Number rightNumber
              ? applyArithmetic(location, operator, leftNumber, rightNumber)
              : combine(location, operator, left, right);
    };
  }

  private static boolean contains(SourceLocation location, Object container, Object item) {
    if (container instanceof ScriptDict dict) {
      return dict.containsKey(item);
    }
    if (container instanceof String text && item instanceof String part) {
      return text.contains(part);
    }
    for (Object candidate : Values.items(location, container)) {
      if (Values.areEqual(candidate, item)) {
        return true;
      }
    }
    return false;
  }

  /** Concatenates strings or lists, merges dicts, or repeats a list. */
  private static Object combine(
      SourceLocation location, BinaryOperator operator, Object left, Object right) {
    if (operator == BinaryOperator.ADD) {
      if (left instanceof String first && right instanceof String second) {
        ExecutionLimits.checkSize(location, first.length() + second.length());
        return first + second;
      }
      if (left instanceof ScriptList first && right instanceof ScriptList second) {
        ExecutionLimits.checkSize(location, first.size() + second.size());
        return ScriptList.concatenation(first, second, location);
      }
      if (left instanceof ScriptDict first && right instanceof ScriptDict second) {
        ScriptDict union = ScriptDict.union(first, second);
        ExecutionLimits.checkSize(location, union.size());
        return union;
      }
    }
    if (operator == BinaryOperator.MULTIPLY
        && left instanceof ScriptList list
        && right instanceof Long times) {
      return repeat(location, list, times);
    }
    throw new EvaluationException(
        location,
        "'"
            + operator.symbol()
            + "' cannot be applied to "
            + Values.typeName(left)
            + " and "
            + Values.typeName(right));
  }

  private static ScriptList repeat(SourceLocation location, ScriptList list, long times) {
    long size = Math.max(0, times) * list.size();
    ExecutionLimits.checkSize(location, (int) Math.min(Integer.MAX_VALUE, size));
    ScriptList repeated = new ScriptList();
    for (long i = 0; i < times; i++) {
      repeated.addAll(list);
    }
    return repeated;
  }

  private static Object applyArithmetic(
      SourceLocation location, BinaryOperator operator, Number left, Number right) {
    boolean divides =
        operator == BinaryOperator.DIVIDE
            || operator == BinaryOperator.FLOOR_DIVIDE
            || operator == BinaryOperator.MODULO;
    if (divides && right.doubleValue() == 0) {
      throw new EvaluationException(location, "division by zero");
    }
    if (left instanceof Long leftLong
        && right instanceof Long rightLong
        && operator != BinaryOperator.DIVIDE) {
      return applyToLongs(location, operator, leftLong, rightLong);
    }
    return applyToDoubles(location, operator, left.doubleValue(), right.doubleValue());
  }

  private static long applyToLongs(
      SourceLocation location, BinaryOperator operator, long left, long right) {
    try {
      return switch (operator) {
        case ADD -> Math.addExact(left, right);
        case SUBTRACT -> Math.subtractExact(left, right);
        case MULTIPLY -> Math.multiplyExact(left, right);
        case FLOOR_DIVIDE -> Math.floorDiv(left, right);
        default -> Math.floorMod(left, right);
      };
    } catch (ArithmeticException e) {
      throw new EvaluationException(location, OVERFLOW);
    }
  }

  private static double applyToDoubles(
      SourceLocation location, BinaryOperator operator, double left, double right) {
    double result =
        switch (operator) {
          case ADD -> left + right;
          case SUBTRACT -> left - right;
          case MULTIPLY -> left * right;
          case DIVIDE -> left / right;
          case FLOOR_DIVIDE -> Math.floor(left / right);
          default -> left - right * Math.floor(left / right);
        };
    if (Double.isNaN(result) || Double.isInfinite(result)) {
      throw new EvaluationException(location, OVERFLOW);
    }
    return result;
  }
}
