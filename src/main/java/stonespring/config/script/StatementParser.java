package stonespring.config.script;

import java.util.ArrayList;
import java.util.List;

/**
 * Parses the statements of a file. A statement with an error is skipped to the end of its line and
 * of the block that follows, so that one run reports the errors of all statements.
 */
final class StatementParser {
  /** The operators that an augmented assignment such as {@code +=} can have. */
  private static final BinaryOperator[] AUGMENTING_OPERATORS = {
    BinaryOperator.ADD,
    BinaryOperator.SUBTRACT,
    BinaryOperator.MULTIPLY,
    BinaryOperator.DIVIDE,
    BinaryOperator.FLOOR_DIVIDE,
    BinaryOperator.MODULO
  };

  private final TokenStream tokens;
  private final ExpressionParser expressions;

  /** Creates a parser of a file's tokens; syntax errors are added to the list. */
  StatementParser(List<Token> tokens, List<SettingsError> errors) {
    this.tokens = new TokenStream(tokens, errors);
    this.expressions = new ExpressionParser(this.tokens);
  }

  /** Parses the whole file. */
  List<Statement> parse() {
    List<Statement> statements = new ArrayList<>();
    while (!tokens.nextIs(Token.Kind.END)) {
      parseStatement(statements, false);
    }
    return statements;
  }

  private void parseStatement(List<Statement> statements, boolean inFunction) {
    int nestingBefore = tokens.nesting();
    try {
      if (tokens.nextIs(Token.Kind.NEWLINE)) {
        tokens.next();
      } else if (tokens.nextIs(Token.Kind.INDENT)) {
        Token indent = tokens.next();
        throw tokens.error(
            indent.location(), "unexpected indentation: the previous line does not start a block");
      } else if (tokens.nextIs("if")) {
        statements.add(parseIf(inFunction));
      } else if (tokens.nextIs("for")) {
        statements.add(parseFor(inFunction));
      } else if (tokens.nextIs("def")) {
        statements.add(parseFunctionDefinition(inFunction));
      } else {
        statements.add(parseSimpleStatement(inFunction));
        expectEndOfLine();
      }
    } catch (ParseAbortedException e) {
      skipStatement();
    }
    tokens.restoreNesting(nestingBefore);
  }

  private void expectEndOfLine() {
    if (!tokens.nextIs(Token.Kind.NEWLINE)) {
      throw tokens.error("expected the end of the line, found " + tokens.peek().description());
    }
    tokens.next();
  }

  private void skipStatement() {
    while (!tokens.nextIs(Token.Kind.NEWLINE) && !tokens.nextIs(Token.Kind.END)) {
      tokens.next();
    }
    tokens.next();
    skipBlock();
  }

  private void skipBlock() {
    int openBlocks = 0;
    while (tokens.nextIs(Token.Kind.INDENT) || openBlocks > 0) {
      Token.Kind kind = tokens.next().kind();
      if (kind == Token.Kind.INDENT) {
        openBlocks++;
      } else if (kind == Token.Kind.DEDENT) {
        openBlocks--;
      } else if (kind == Token.Kind.END) {
        return;
      }
    }
  }

  private List<Statement> parseBlock(boolean inFunction) {
    tokens.enter(tokens.peek().location());
    tokens.expect(":");
    List<Statement> body = new ArrayList<>();
    if (!tokens.nextIs(Token.Kind.NEWLINE)) {
      body.add(parseSimpleStatement(inFunction));
      tokens.next();
      tokens.leave();
      return body;
    }
    tokens.next();
    if (!tokens.nextIs(Token.Kind.INDENT)) {
      throw tokens.error("expected an indented block, found " + tokens.peek().description());
    }
    tokens.next();
    while (!tokens.nextIs(Token.Kind.DEDENT) && !tokens.nextIs(Token.Kind.END)) {
      parseStatement(body, inFunction);
    }
    tokens.next();
    tokens.leave();
    return body;
  }

  private Statement parseIf(boolean inFunction) {
    SourceLocation location = tokens.peek().location();
    List<Statement.Branch> branches = new ArrayList<>();
    do {
      tokens.next();
      Expression condition = expressions.parse();
      branches.add(new Statement.Branch(condition, parseBlock(inFunction)));
    } while (tokens.nextIs("elif"));
    List<Statement> elseBody = tokens.take("else") ? parseBlock(inFunction) : List.of();
    return new Statement.If(location, branches, elseBody);
  }

  private Statement parseFor(boolean inFunction) {
    SourceLocation location = tokens.next().location();
    List<String> names = tokens.expectNames();
    tokens.expect("in");
    Expression iterable = expressions.parse();
    return new Statement.For(location, names, iterable, parseBlock(inFunction));
  }

  private Statement parseFunctionDefinition(boolean inFunction) {
    if (inFunction) {
      throw tokens.error("a function definition inside a function is not supported");
    }
    SourceLocation location = tokens.next().location();
    String name = tokens.expectName();
    tokens.expect("(");
    List<Statement.Parameter> parameters = new ArrayList<>();
    while (!tokens.nextIs(")")) {
      String parameter = tokens.expectName();
      Expression defaultValue = tokens.take("=") ? expressions.parse() : null;
      parameters.add(new Statement.Parameter(parameter, defaultValue));
      if (!tokens.take(",")) {
        break;
      }
    }
    tokens.expect(")");
    return new Statement.FunctionDefinition(location, name, parameters, parseBlock(true));
  }

  /** Parses a statement without a block. */
  private Statement parseSimpleStatement(boolean inFunction) {
    if (tokens.nextIs("pass")) {
      return new Statement.Pass(tokens.next().location());
    }
    if (tokens.nextIs("break")) {
      return new Statement.Break(tokens.next().location());
    }
    if (tokens.nextIs("continue")) {
      return new Statement.Continue(tokens.next().location());
    }
    if (tokens.nextIs("return")) {
      return parseReturn(inFunction);
    }
    if (tokens.nextIs("load")) {
      return parseLoad();
    }
    return parseAssignmentOrExpression();
  }

  private Statement parseReturn(boolean inFunction) {
    SourceLocation location = tokens.next().location();
    if (!inFunction) {
      throw tokens.error(location, "'return' is allowed only inside a function");
    }
    Expression value = tokens.nextIs(Token.Kind.NEWLINE) ? null : expressions.parse();
    return new Statement.Return(location, value);
  }

  private Statement parseAssignmentOrExpression() {
    Expression left = expressions.parse();
    if (tokens.take("=")) {
      return parseAssignment(left, null);
    }
    for (BinaryOperator operator : AUGMENTING_OPERATORS) {
      if (tokens.take(operator.symbol() + "=")) {
        return parseAssignment(left, operator);
      }
    }
    return new Statement.ExpressionStatement(left);
  }

  private Statement parseAssignment(Expression target, BinaryOperator operator) {
    if (!(target instanceof Expression.Name || target instanceof Expression.Index)) {
      throw tokens.error(
          target.location(),
          "cannot assign to this expression: expected a name or an entry of a list or dict");
    }
    return new Statement.Assign(target.location(), target, operator, expressions.parse());
  }

  private Statement parseLoad() {
    SourceLocation location = tokens.next().location();
    tokens.expect("(");
    String file = expectString("load: expected the file name as a string");
    List<Statement.ImportedName> names = new ArrayList<>();
    while (tokens.take(",") && !tokens.nextIs(")")) {
      names.add(parseImportedName());
    }
    tokens.expect(")");
    return new Statement.Load(location, file, names);
  }

  private Statement.ImportedName parseImportedName() {
    String localName = null;
    if (tokens.nextIs(Token.Kind.NAME)) {
      localName = tokens.next().text();
      tokens.expect("=");
    }
    String name = expectString("load: expected the name to load as a string");
    return new Statement.ImportedName(name, localName == null ? name : localName);
  }

  private String expectString(String errorMessage) {
    if (!tokens.nextIs(Token.Kind.STRING)) {
      throw tokens.error(errorMessage + ", found " + tokens.peek().description());
    }
    return tokens.next().text();
  }
}
