package stonespring.config.script;

import java.util.ArrayList;
import java.util.List;

/** The tokens of a file as the parsers consume them, with the bound on nesting. */
final class TokenStream {
  /** The most brackets, operators and blocks inside one another. */
  private static final int MAX_NESTING = 100;

  private final List<Token> tokens;
  private final List<SettingsError> errors;
  private int position;
  private int nesting;

  /**
   * Starts at the first token.
   *
   * @param tokens ends with a token of kind END
   * @param errors receives the syntax errors
   */
  TokenStream(List<Token> tokens, List<SettingsError> errors) {
    this.tokens = tokens;
    this.errors = errors;
  }

  Token peek() {
    return tokens.get(position);
  }

  /** The token after the next one; not to be called at the end. */
  Token peekSecond() {
    return tokens.get(position + 1);
  }

  boolean nextIs(Token.Kind kind) {
    return peek().kind() == kind;
  }

  boolean nextIs(String keywordOrOperator) {
    return peek().is(keywordOrOperator);
  }

  /** Consumes a token; the last one stays. */
  Token next() {
    Token token = tokens.get(position);
    position = Math.min(position + 1, tokens.size() - 1);
    return token;
  }

  void stepBack() {
    position = Math.max(0, position - 1);
  }

  /** Consumes the next token if it is the given one. */
  boolean take(String keywordOrOperator) {
    if (nextIs(keywordOrOperator)) {
      next();
      return true;
    }
    return false;
  }

  Token expect(String keywordOrOperator) {
    if (!nextIs(keywordOrOperator)) {
      throw error("'" + keywordOrOperator + "' is missing before " + peek().description());
    }
    return next();
  }

  String expectName() {
    if (!nextIs(Token.Kind.NAME)) {
      throw error("a name is missing before " + peek().description());
    }
    return next().text();
  }

  /** One name or several, separated by commas. */
  List<String> expectNames() {
    List<String> names = new ArrayList<>();
    do {
      names.add(expectName());
    } while (take(","));
    return names;
  }

  /** Records an error at the next token. */
  ParseAbortedException error(String message) {
    return error(peek().location(), message);
  }

  /** Records an error, unless its line has one: others there mostly follow from the first. */
  ParseAbortedException error(SourceLocation location, String message) {
    boolean lineHasError = false;
    for (SettingsError error : errors) {
      lineHasError |=
          error.location().line() == location.line()
              && error.location().file().equals(location.file());
    }
    if (!lineHasError) {
      errors.add(new SettingsError(location, message));
    }
    return new ParseAbortedException();
  }

  /** Enters a construct that can contain itself. */
  void enter(SourceLocation location) {
    if (++nesting > MAX_NESTING) {
      throw error(location, "nested more than " + MAX_NESTING + " deep");
    }
  }

  void leave() {
    nesting--;
  }

  int nesting() {
    return nesting;
  }

  /** Goes back to an earlier nesting after a statement was abandoned. */
  void restoreNesting(int earlierNesting) {
    nesting = earlierNesting;
  }
}
