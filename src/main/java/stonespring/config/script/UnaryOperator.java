package stonespring.config.script;

/** The unary operators. */
enum UnaryOperator {
  NOT("not"),
  PLUS("+"),
  MINUS("-");

  private final String symbol;

  UnaryOperator(String symbol) {
    this.symbol = symbol;
  }

  String symbol() {
    return symbol;
  }
}
