package stonespring.config.script;

import java.util.HashMap;
import java.util.Map;

/** The binary operators. */
enum BinaryOperator {
  OR("or", Precedence.DISJUNCTION),
  AND("and", Precedence.CONJUNCTION),
  EQUAL("==", Precedence.COMPARISON),
  NOT_EQUAL("!=", Precedence.COMPARISON),
  LESS("<", Precedence.COMPARISON),
  GREATER(">", Precedence.COMPARISON),
  LESS_OR_EQUAL("<=", Precedence.COMPARISON),
  GREATER_OR_EQUAL(">=", Precedence.COMPARISON),
  IN("in", Precedence.COMPARISON),
  NOT_IN("not in", Precedence.COMPARISON),
  ADD("+", Precedence.SUM),
  SUBTRACT("-", Precedence.SUM),
  MULTIPLY("*", Precedence.PRODUCT),
  DIVIDE("/", Precedence.PRODUCT),
  FLOOR_DIVIDE("//", Precedence.PRODUCT),
  MODULO("%", Precedence.PRODUCT);

  /** Operator precedence, from lowest to highest. */
  enum Precedence {
    DISJUNCTION,
    CONJUNCTION,
    COMPARISON,
    SUM,
    PRODUCT
  }

  private static final Map<String, BinaryOperator> BY_SYMBOL = new HashMap<>();

  static {
    for (BinaryOperator operator : values()) {
      BY_SYMBOL.put(operator.symbol, operator);
    }
  }

  private final String symbol;
  private final Precedence precedence;

  BinaryOperator(String symbol, Precedence precedence) {
    this.symbol = symbol;
    this.precedence = precedence;
  }

  /** Returns the operator with the given symbol; null if there is none. */
  static BinaryOperator of(String symbol) {
    return BY_SYMBOL.get(symbol);
  }

  String symbol() {
    return symbol;
  }

  Precedence precedence() {
    return precedence;
  }
}
