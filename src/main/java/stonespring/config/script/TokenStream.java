package stonespring.config.script;

import java.util.ArrayList;
import java.util.List;

/**
 * The tokens of a file, consumed by the parsers. Also counts the nesting depth, which is bounded.
 */
final class TokenStream {
  /** The largest nesting depth of brackets, operators and blocks. */
  private static final int MAX_NESTING = 100;

  private final List<Token> tokens;
  private final List<SettingsError> errors;
  private int position;
  private int nesting;

  /**
   * Creates a stream at the first token.
   *
   * @param tokens the tokens; the last one is of kind END
   * @param errors receives the syntax errors
   */
  TokenStream(List<Token> tokens, List<SettingsError> errors) {
    this.tokens = tokens;
    this.errors = errors;
  }

  Token peek() {
    return tokens.get(position);
  }

  /** The token after the next one; must not be called at the end. */
  Token peekSecond() {
    return tokens.get(position + 1);
  }

  boolean nextIs(Token.Kind kind) {
    return peek().kind() == kind;
  }

  boolean nextIs(String keywordOrOperator) {
    return peek().is(keywordOrOperator);
  }

  /** Consumes and returns the next token; the last token is returned again by each further call. */
  Token next() {
    Token token = tokens.get(position);
    position = Math.min(position + 1, tokens.size() - 1);
    return token;
  }

  void stepBack() {
    position = Math.max(0, position - 1);
  }

  /** Consumes the next token if it is the given keyword or operator; returns whether it was. */
  boolean take(String keywordOrOperator) {
    if (nextIs(keywordOrOperator)) {
      next();
      return true;
    }
    return false;
  }

  Token expect(String keywordOrOperator) {
    if (!nextIs(keywordOrOperator)) {
      throw error("expected '" + keywordOrOperator + "', found " + peek().description());
    }
    return next();
  }

  String expectName() {
    if (!nextIs(Token.Kind.NAME)) {
      throw error("expected a name, found " + peek().description());
    }
    return next().text();
  }

  /** Consumes one or more names separated by commas. */
  List<String> expectNames() {
    List<String> names = new ArrayList<>();
    do {
      names.add(expectName());
    } while (take(","));
    return names;
  }

  /** Records an error at the next token. The caller throws the returned exception. */
  ParseAbortedException error(String message) {
    return error(peek().location(), message);
  }

  /**
   * Records an error unless its line already has one: further errors of a line mostly follow from
   * the first. The caller throws the returned exception.
   */
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

  /** Enters a construct that can contain itself; fails if the nesting is too deep. */
  void enter(SourceLocation location) {
    if (++nesting > MAX_NESTING) {
      throw error(location, "nested more than " + MAX_NESTING + " levels deep");
    }
  }

  void leave() {
    nesting--;
  }

  int nesting() {
    return nesting;
  }

  /** Resets the nesting depth to an earlier one after a statement was abandoned. */
  void restoreNesting(int earlierNesting) {
    nesting = earlierNesting;
  }
}
