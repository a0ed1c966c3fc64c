package stonespring.config.script;

import java.util.List;

/** An expression of a parsed script. */
sealed interface Expression {
  /** The location at which errors of this expression are reported. */
  SourceLocation location();

  /**
   * A literal value.
   *
   * @param value the value; null for {@code None}
   */
  record Literal(SourceLocation location, Object value) implements Expression {}

  record Name(SourceLocation location, String name) implements Expression {}

  record Unary(SourceLocation location, UnaryOperator operator, Expression operand)
      implements Expression {}

  record Binary(SourceLocation location, BinaryOperator operator, Expression left, Expression right)
      implements Expression {}

  /** {@code whenTrue if condition else whenFalse}. */
  record Conditional(
      SourceLocation location, Expression whenTrue, Expression condition, Expression whenFalse)
      implements Expression {}

  /** {@code [item, ...]}. */
  record ListDisplay(SourceLocation location, List<Expression> items) implements Expression {}

  /** {@code key: value} in a dict display. */
  record DictEntry(SourceLocation location, Expression key, Expression value) {}

  /** {@code {key: value, ...}}. */
  record DictDisplay(SourceLocation location, List<DictEntry> entries) implements Expression {}

  /**
   * {@code for names in iterable if condition}.
   *
   * @param condition null if there is none
   */
  record ComprehensionClause(
      SourceLocation location, List<String> names, Expression iterable, Expression condition) {}

  /**
   * A list or dict comprehension.
   *
   * @param key the key expression of a dict comprehension; null for a list
   */
  record Comprehension(
      SourceLocation location, Expression key, Expression value, List<ComprehensionClause> clauses)
      implements Expression {}

  /** {@code container[index]}. */
  record Index(SourceLocation location, Expression container, Expression index)
      implements Expression {}

  /**
   * An argument of a call.
   *
   * @param name the name of a named argument; null for a positional one
   */
  record Argument(String name, Expression value) {}

  record Call(SourceLocation location, Expression function, List<Argument> arguments)
      implements Expression {}
}
