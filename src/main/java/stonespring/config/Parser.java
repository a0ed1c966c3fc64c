package stonespring.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Tokens to a tree. A statement with a fault is skipped to its line's end, so that one run finds
 * every fault.
 */
final class Parser {
  private static final int NESTING_MOST = 100; // brackets, operators and blocks inside one another

  private static final class Skip extends RuntimeException {
    private static final long serialVersionUID = 1;

    Skip() {
      super(null, null, false, false);
    }
  }

  private static final List<List<String>> BINARY =
      List.of(
          List.of("or"),
          List.of("and"),
          List.of("==", "!=", "<", ">", "<=", ">=", "in", "not in"),
          List.of("+", "-"),
          List.of("*", "/", "//", "%"));

  private final List<Token> tokens;
  private final List<SettingsError> faults;
  private int at;
  private int depth;

  Parser(List<Token> tokens, List<SettingsError> faults) {
    this.tokens = tokens;
    this.faults = faults;
  }

  private Token peek() {
    return tokens.get(at);
  }

  private Token next() {
    Token token = tokens.get(at);
    at = Math.min(at + 1, tokens.size() - 1);
    return token;
  }

  private boolean take(String op) {
    if (peek().is(op)) {
      next();
      return true;
    }
    return false;
  }

  private Skip fault(SourceLocation place, String message) {
    // A line that is told already needs no second word on what follows from the first.
    if (faults.stream()
        .noneMatch(
            f -> f.place().line() == place.line() && f.place().file().equals(place.file()))) {
      faults.add(new SettingsError(place, message));
    }
    return new Skip();
  }

  private Token expect(String op) {
    if (!peek().is(op)) {
      throw fault(peek().place(), "'" + op + "' is missing before " + peek().shown());
    }
    return next();
  }

  private String name() {
    if (peek().kind() != Token.Kind.NAME) {
      throw fault(peek().place(), "a name is missing before " + peek().shown());
    }
    return next().text();
  }

  private void deeper(SourceLocation place) {
    if (++depth > NESTING_MOST) {
      throw fault(place, "nested more than " + NESTING_MOST + " deep");
    }
  }

  List<Node> script() {
    List<Node> all = new ArrayList<>();
    while (peek().kind() != Token.Kind.END) {
      statement(all, false);
    }
    return all;
  }

  private void statement(List<Node> into, boolean inFunction) {
    int before = depth;
    try {
      Token token = peek();
      if (token.kind() == Token.Kind.NEWLINE) {
        next();
      } else if (token.kind() == Token.Kind.INDENT) {
        next();
        throw fault(token.place(), "this line is indented, but no block begins above it");
      } else if (token.is("if")) {
        into.add(ifStatement(inFunction));
      } else if (token.is("for")) {
        SourceLocation place = next().place();
        List<String> names = names();
        expect("in");
        Node in = expression();
        into.add(new Node.For(place, names, in, block(inFunction)));
      } else if (token.is("def")) {
        if (inFunction) {
          throw fault(token.place(), "a function inside a function is not part of this language");
        }
        into.add(def());
      } else {
        into.add(simple(inFunction));
        if (peek().kind() != Token.Kind.NEWLINE) {
          throw fault(peek().place(), peek().shown() + " does not belong here");
        }
        next();
      }
    } catch (Skip e) {
      while (peek().kind() != Token.Kind.NEWLINE && peek().kind() != Token.Kind.END) {
        next();
      }
      next();
      skipBlock();
    }
    depth = before;
  }

  private void skipBlock() {
    int open = 0;
    while (peek().kind() == Token.Kind.INDENT
        || peek().kind() == Token.Kind.DEDENT && open > 0
        || open > 0) {
      Token.Kind kind = next().kind();
      open += kind == Token.Kind.INDENT ? 1 : kind == Token.Kind.DEDENT ? -1 : 0;
      if (kind == Token.Kind.END) {
        return;
      }
    }
  }

  private List<Node> block(boolean inFunction) {
    deeper(peek().place());
    expect(":");
    if (peek().kind() != Token.Kind.NEWLINE) {
      List<Node> one = new ArrayList<>(List.of(simple(inFunction)));
      next();
      depth--;
      return one;
    }
    next();
    if (peek().kind() != Token.Kind.INDENT) {
      throw fault(peek().place(), "an indented block is missing");
    }
    next();
    List<Node> body = new ArrayList<>();
    while (peek().kind() != Token.Kind.DEDENT && peek().kind() != Token.Kind.END) {
      statement(body, inFunction);
    }
    next();
    depth--;
    return body;
  }

  private Node ifStatement(boolean inFunction) {
    SourceLocation place = peek().place();
    List<Node.Branch> branches = new ArrayList<>();
    do {
      next();
      Node condition = expression();
      branches.add(new Node.Branch(condition, block(inFunction)));
    } while (peek().is("elif"));
    List<Node> otherwise = take("else") ? block(inFunction) : List.of();
    return new Node.If(place, branches, otherwise);
  }

  private List<String> names() {
    List<String> names = new ArrayList<>();
    do {
      names.add(name());
    } while (take(","));
    return names;
  }

  private Node def() {
    SourceLocation place = next().place();
    String name = name();
    expect("(");
    List<Node.Parameter> parameters = new ArrayList<>();
    while (!peek().is(")")) {
      String parameter = name();
      parameters.add(new Node.Parameter(parameter, take("=") ? expression() : null));
      if (!take(",")) {
        break;
      }
    }
    expect(")");
    return new Node.Def(place, name, parameters, block(true));
  }

  private Node simple(boolean inFunction) {
    Token token = peek();
    if (token.is("pass") || token.is("break") || token.is("continue")) {
      return new Node.Jump(next().place(), token.text());
    }
    if (token.is("return")) {
      next();
      if (!inFunction) {
        throw fault(token.place(), "'return' stands outside a function");
      }
      return new Node.Return(
          token.place(), peek().kind() == Token.Kind.NEWLINE ? null : expression());
    }
    if (token.is("load")) {
      return load();
    }
    Node left = expression();
    for (String op : List.of("=", "+=", "-=", "*=", "/=", "//=", "%=")) {
      if (peek().is(op)) {
        next();
        if (!(left instanceof Node.Name || left instanceof Node.Index)) {
          throw fault(left.place(), "only a name or an entry can be set");
        }
        return new Node.Assign(left.place(), left, op, expression());
      }
    }
    return left;
  }

  private Node load() {
    SourceLocation place = next().place();
    expect("(");
    if (peek().kind() != Token.Kind.STRING) {
      throw fault(peek().place(), "load: the file's name is missing");
    }
    String file = next().text();
    List<Node.Import> names = new ArrayList<>();
    while (take(",") && !peek().is(")")) {
      String as = peek().kind() == Token.Kind.NAME ? next().text() : null;
      if (as != null) {
        expect("=");
      }
      if (peek().kind() != Token.Kind.STRING) {
        throw fault(peek().place(), "load: names to load are strings");
      }
      String name = next().text();
      names.add(new Node.Import(name, as == null ? name : as));
    }
    expect(")");
    return new Node.Load(place, file, names);
  }

  private Node expression() {
    deeper(peek().place());
    Node then = binary(0);
    if (peek().is("if")) {
      SourceLocation place = next().place();
      Node condition = binary(0);
      expect("else");
      then = new Node.Choice(place, then, condition, expression());
    }
    depth--;
    return then;
  }

  private Node binary(int level) {
    if (level == BINARY.size()) {
      return unary();
    }
    if (level == 2 && peek().is("not")) {
      Token not = next();
      deeper(not.place());
      Node of = binary(2);
      depth--;
      return new Node.Unary(not.place(), "not", of);
    }
    Node left = binary(level + 1);
    while (true) {
      Token token = peek();
      String op =
          token.is("not") && level == 2 && tokens.get(at + 1).is("in") ? "not in" : token.text();
      if (token.kind() != Token.Kind.OP && token.kind() != Token.Kind.WORD
          || !BINARY.get(level).contains(op)) {
        return left;
      }
      next();
      if (op.equals("not in")) {
        next();
      }
      left = new Node.Binary(token.place(), op, left, binary(level + 1));
    }
  }

  private Node unary() {
    if (peek().is("-") || peek().is("+")) {
      Token op = next();
      deeper(op.place());
      Node of = unary();
      depth--;
      return new Node.Unary(op.place(), op.text(), of);
    }
    Node node = atom();
    while (true) {
      if (peek().is("(")) {
        node = call(node);
      } else if (peek().is("[")) {
        SourceLocation place = next().place();
        Node index = expression();
        expect("]");
        node = new Node.Index(place, node, index);
      } else {
        return node;
      }
    }
  }

  private Node call(Node function) {
    expect("(");
    List<Node.Argument> arguments = new ArrayList<>();
    while (!peek().is(")")) {
      String name = null;
      if (peek().kind() == Token.Kind.NAME && tokens.get(at + 1).is("=")) {
        name = next().text();
        next();
      }
      arguments.add(new Node.Argument(name, expression()));
      if (!take(",")) {
        break;
      }
    }
    expect(")");
    return new Node.Call(function.place(), function, arguments);
  }

  private Node atom() {
    Token token = next();
    switch (token.kind()) {
      case NUMBER, STRING -> {
        return new Node.Const(token.place(), token.value());
      }
      case NAME -> {
        return new Node.Name(token.place(), token.text());
      }
      default -> {
        switch (token.text()) {
          case "True", "False" -> {
            return new Node.Const(token.place(), token.text().equals("True"));
          }
          case "None" -> {
            return new Node.Const(token.place(), null);
          }
          case "(" -> {
            Node inner = expression();
            expect(")");
            return inner;
          }
          case "[" -> {
            return list(token.place());
          }
          case "{" -> {
            return dict(token.place());
          }
          default -> {
            at = Math.max(0, at - 1);
            throw fault(token.place(), "a value is missing before " + token.shown());
          }
        }
      }
    }
  }

  private Node list(SourceLocation place) {
    List<Node> items = new ArrayList<>();
    while (!peek().is("]")) {
      items.add(expression());
      if (items.size() == 1 && peek().is("for")) {
        Node all = new Node.Comprehension(place, null, items.get(0), clauses());
        expect("]");
        return all;
      }
      if (!take(",")) {
        break;
      }
    }
    expect("]");
    return new Node.ListOf(place, items);
  }

  private Node dict(SourceLocation place) {
    List<Node.Pair> pairs = new ArrayList<>();
    while (!peek().is("}")) {
      Node key = expression();
      expect(":");
      Node value = expression();
      if (pairs.isEmpty() && peek().is("for")) {
        Node all = new Node.Comprehension(place, key, value, clauses());
        expect("}");
        return all;
      }
      pairs.add(new Node.Pair(key.place(), key, value));
      if (!take(",")) {
        break;
      }
    }
    expect("}");
    return new Node.DictOf(place, pairs);
  }

  private List<Node.Clause> clauses() {
    List<Node.Clause> clauses = new ArrayList<>();
    while (peek().is("for")) {
      SourceLocation place = next().place();
      List<String> names = names();
      expect("in");
      Node in = binary(0);
      clauses.add(new Node.Clause(place, names, in, take("if") ? binary(0) : null));
    }
    return clauses;
  }
}
