package stonespring.config.script;

import java.util.List;

/** A statement of a parsed script. */
sealed interface Statement {
  /** The location at which errors of this statement are reported. */
  SourceLocation location();

  /** An expression whose value is discarded, such as a call of {@code fail}. */
  record ExpressionStatement(Expression expression) implements Statement {
    @Override
    public SourceLocation location() {
      return expression.location();
    }
  }

  /**
   * An assignment to a name or to an entry of a list or dict.
   *
   * @param operator the operator of an augmented assignment such as {@code +=}; null for {@code =}
   */
  record Assign(
      SourceLocation location, Expression target, BinaryOperator operator, Expression value)
      implements Statement {}

  /** An {@code if} or {@code elif} condition with its body. */
  record Branch(Expression condition, List<Statement> body) {}

  /**
   * {@code if}, {@code elif} and {@code else}.
   *
   * @param elseBody empty if there is no {@code else}
   */
  record If(SourceLocation location, List<Branch> branches, List<Statement> elseBody)
      implements Statement {}

  record For(SourceLocation location, List<String> names, Expression iterable, List<Statement> body)
      implements Statement {}

  /**
   * A parameter of a function.
   *
   * @param defaultValue null if the argument is required
   */
  record Parameter(String name, Expression defaultValue) {}

  record FunctionDefinition(
      SourceLocation location, String name, List<Parameter> parameters, List<Statement> body)
      implements Statement {}

  /**
   * Returns from a function.
   *
   * @param value null if none is given
   */
  record Return(SourceLocation location, Expression value) implements Statement {}

  record Pass(SourceLocation location) implements Statement {}

  record Break(SourceLocation location) implements Statement {}

  record Continue(SourceLocation location) implements Statement {}

  /**
   * A name imported from a loaded file.
   *
   * @param name the name in the loaded file
   * @param localName the name that it gets in the loading file
   */
  record ImportedName(String name, String localName) {}

  record Load(SourceLocation location, String file, List<ImportedName> names)
      implements Statement {}
}
