package stonespring.config.script;

import java.util.ArrayList;
import java.util.List;
import stonespring.config.script.BinaryOperator.Precedence;

/** Parses expressions by recursive descent. */
final class ExpressionParser {
  private static final Precedence[] PRECEDENCES = Precedence.values();

  private final TokenStream tokens;

  ExpressionParser(TokenStream tokens) {
    this.tokens = tokens;
  }

  /** Parses a complete expression, conditional or not. */
  Expression parse() {
    tokens.enter(tokens.peek().location());
    Expression expression = parseOperatorExpression();
    if (tokens.nextIs("if")) {
      SourceLocation location = tokens.next().location();
      Expression condition = parseOperatorExpression();
      tokens.expect("else");
      expression = new Expression.Conditional(location, expression, condition, parse());
    }
    tokens.leave();
    return expression;
  }

  /** Parses an expression that is not a conditional. */
  private Expression parseOperatorExpression() {
    return parseBinary(0);
  }

  private Expression parseBinary(int precedenceLevel) {
    if (precedenceLevel == PRECEDENCES.length) {
      return parseUnary();
    }
    Precedence precedence = PRECEDENCES[precedenceLevel];
    if (precedence == Precedence.COMPARISON && tokens.nextIs("not")) {
      return parseNot(precedenceLevel);
    }
    Expression left = parseBinary(precedenceLevel + 1);
    while (true) {
      BinaryOperator operator = peekBinaryOperator();
      if (operator == null || operator.precedence() != precedence) {
        return left;
      }
      SourceLocation location = tokens.next().location();
      if (operator == BinaryOperator.NOT_IN) {
        tokens.next();
      }
      left = new Expression.Binary(location, operator, left, parseBinary(precedenceLevel + 1));
    }
  }

  private Expression parseNot(int precedenceLevel) {
    SourceLocation location = tokens.next().location();
    tokens.enter(location);
    Expression operand = parseBinary(precedenceLevel);
    tokens.leave();
    return new Expression.Unary(location, UnaryOperator.NOT, operand);
  }

  /** The binary operator at the next token; null if there is none. */
  private BinaryOperator peekBinaryOperator() {
    Token token = tokens.peek();
    if (!token.isKeywordOrOperator()) {
      return null;
    }
    if (token.is("not") && tokens.peekSecond().is("in")) {
      return BinaryOperator.NOT_IN;
    }
    return BinaryOperator.of(token.text());
  }

  private Expression parseUnary() {
    if (tokens.nextIs("-") || tokens.nextIs("+")) {
      Token sign = tokens.next();
      UnaryOperator operator = sign.is("-") ? UnaryOperator.MINUS : UnaryOperator.PLUS;
      tokens.enter(sign.location());
      Expression operand = parseUnary();
      tokens.leave();
      return new Expression.Unary(sign.location(), operator, operand);
    }
    return parsePostfix();
  }

  /** Parses a primary expression and the calls and index operations that follow it. */
  private Expression parsePostfix() {
    Expression expression = parsePrimary();
    while (true) {
      if (tokens.nextIs("(")) {
        expression = parseCall(expression);
      } else if (tokens.nextIs("[")) {
        SourceLocation location = tokens.next().location();
        Expression index = parse();
        tokens.expect("]");
        expression = new Expression.Index(location, expression, index);
      } else {
        return expression;
      }
    }
  }

  private Expression parseCall(Expression function) {
    tokens.expect("(");
    List<Expression.Argument> arguments = new ArrayList<>();
    while (!tokens.nextIs(")")) {
      String name = null;
      if (tokens.nextIs(Token.Kind.NAME) && tokens.peekSecond().is("=")) {
        name = tokens.next().text();
        tokens.next();
      }
      arguments.add(new Expression.Argument(name, parse()));
      if (!tokens.take(",")) {
        break;
      }
    }
    tokens.expect(")");
    return new Expression.Call(function.location(), function, arguments);
  }

  private Expression parsePrimary() {
    Token token = tokens.next();
    return switch (token.kind()) {
      case NUMBER, STRING -> new Expression.Literal(token.location(), token.value());
      case NAME -> new Expression.Name(token.location(), token.text());
      default -> parseKeywordOrBracket(token);
    };
  }

  private Expression parseKeywordOrBracket(Token token) {
    switch (token.text()) {
      case "True", "False" -> {
        return new Expression.Literal(token.location(), token.text().equals("True"));
      }
      case "None" -> {
        return new Expression.Literal(token.location(), null);
      }
      case "(" -> {
        Expression inner = parse();
        tokens.expect(")");
        return inner;
      }
      case "[" -> {
        return parseList(token.location());
      }
      case "{" -> {
        return parseDict(token.location());
      }
      default -> {
        tokens.stepBack();
        throw tokens.error(token.location(), "expected a value, found " + token.description());
      }
    }
  }

  private Expression parseList(SourceLocation location) {
    List<Expression> items = new ArrayList<>();
    while (!tokens.nextIs("]")) {
      items.add(parse());
      if (items.size() == 1 && tokens.nextIs("for")) {
        Expression comprehension =
            new Expression.Comprehension(location, null, items.get(0), parseClauses());
        tokens.expect("]");
        return comprehension;
      }
      if (!tokens.take(",")) {
        break;
      }
    }
    tokens.expect("]");
    return new Expression.ListDisplay(location, items);
  }

  private Expression parseDict(SourceLocation location) {
    List<Expression.DictEntry> entries = new ArrayList<>();
    while (!tokens.nextIs("}")) {
      Expression key = parse();
      tokens.expect(":");
      Expression value = parse();
      if (entries.isEmpty() && tokens.nextIs("for")) {
        Expression comprehension =
            new Expression.Comprehension(location, key, value, parseClauses());
        tokens.expect("}");
        return comprehension;
      }
      entries.add(new Expression.DictEntry(key.location(), key, value));
      if (!tokens.take(",")) {
        break;
      }
    }
    tokens.expect("}");
    return new Expression.DictDisplay(location, entries);
  }

  private List<Expression.ComprehensionClause> parseClauses() {
    List<Expression.ComprehensionClause> clauses = new ArrayList<>();
    while (tokens.nextIs("for")) {
      SourceLocation location = tokens.next().location();
      List<String> names = tokens.expectNames();
      tokens.expect("in");
      Expression iterable = parseOperatorExpression();
      Expression condition = tokens.take("if") ? parseOperatorExpression() : null;
      clauses.add(new Expression.ComprehensionClause(location, names, iterable, condition));
    }
    return clauses;
  }
}
