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
    if (!(operand instanceof Long number)) {
      return -(Double) operand;
    }
    return applyToLongs(expression.location(), BinaryOperator.SUBTRACT, 0, number);
  }

  /**
   * Applies a binary operator to two evaluated operands. AND and OR are handled by {@link
   * ExpressionEvaluator}, since they need not evaluate the right operand.
   */
  static Object applyBinary(
      ExecutionLimits limits,
      SourceLocation location,
      BinaryOperator operator,
      Object left,
      Object right) {
    return switch (operator) {
      case EQUAL -> Values.areEqual(limits, location, left, right);
      case NOT_EQUAL -> !Values.areEqual(limits, location, left, right);
      case IN -> contains(limits, location, right, left);
      case NOT_IN -> !contains(limits, location, right, left);
      case LESS -> Values.compare(location, left, right) < 0;
      case GREATER -> Values.compare(location, left, right) > 0;
      case LESS_OR_EQUAL -> Values.compare(location, left, right) <= 0;
      case GREATER_OR_EQUAL -> Values.compare(location, left, right) >= 0;
      default ->
          left instanceof Number leftNumber && right instanceof Number rightNumber
              ? applyArithmetic(location, operator, leftNumber, rightNumber)
              : combine(limits, location, operator, left, right);
    };
  }

  private static boolean contains(
      ExecutionLimits limits, SourceLocation location, Object container, Object item) {
    if (container instanceof ScriptDict dict) {
      return Values.canBeKey(item) && dict.containsKey(item);
    }
    if (container instanceof String text && item instanceof String part) {
      return text.contains(part);
    }
    for (Object candidate : Values.items(location, container)) {
      if (Values.areEqual(limits, location, candidate, item)) {
        return true;
      }
    }
    return false;
  }

  /** Concatenates strings or lists, merges dicts, or repeats a list. */
  private static Object combine(
      ExecutionLimits limits,
      SourceLocation location,
      BinaryOperator operator,
      Object left,
      Object right) {
    if (operator == BinaryOperator.ADD) {
      if (left instanceof String first && right instanceof String second) {
        limits.countText(location, (long) first.length() + second.length());
        return first + second;
      }
      if (left instanceof ScriptList first && right instanceof ScriptList second) {
        limits.countList(location, (long) first.size() + second.size());
        return ScriptList.concatenation(first, second, location);
      }
      if (left instanceof ScriptDict first && right instanceof ScriptDict second) {
        limits.countDict(location, (long) first.size() + second.size());
        return ScriptDict.union(first, second);
      }
    }
    if (operator == BinaryOperator.MULTIPLY
        && left instanceof ScriptList list
        && right instanceof Long times) {
      return repeat(limits, location, list, times);
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

  private static ScriptList repeat(
      ExecutionLimits limits, SourceLocation location, ScriptList list, long times) {
    ScriptList repeated = new ScriptList();
    if (list.isEmpty() || times <= 0) {
      return repeated;
    }
    long size = times > Long.MAX_VALUE / list.size() ? Long.MAX_VALUE : times * list.size();
    limits.countList(location, size);
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
        case FLOOR_DIVIDE -> floorDivideExact(left, right);
        default -> Math.floorMod(left, right);
      };
    } catch (ArithmeticException e) {
      throw new EvaluationException(location, OVERFLOW);
    }
  }

  private static long floorDivideExact(long left, long right) {
    // The one quotient that 64 bits can't hold.
    return right == -1 ? Math.negateExact(left) : Math.floorDiv(left, right);
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
