package stonespring.config.script;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Splits the text of a file into tokens. Changes of indentation become INDENT and DEDENT tokens;
 * inside brackets, line ends and indentation are ignored. Characters that cannot start a token are
 * reported and skipped, so that one run reports every error.
 */
final class Lexer {
  private static final Set<String> KEYWORDS =
      Set.of(
          "and",
          "or",
          "not",
          "in",
          "if",
          "elif",
          "else",
          "for",
          "def",
          "return",
          "pass",
          "break",
          "continue",
          "load",
          "True",
          "False",
          "None");

  /** Python keywords that this language does not have; each use is reported as an error. */
  private static final Set<String> UNSUPPORTED_KEYWORDS =
      Set.of(
          "while",
          "import",
          "class",
          "lambda",
          "try",
          "with",
          "global",
          "yield",
          "del",
          "raise",
          "from",
          "is",
          "nonlocal",
          "assert",
          "async",
          "await",
          "except",
          "finally",
          "as");

  /**
   * The operators; each one precedes those that are prefixes of it, so that the longest match is
   * found first.
   */
  private static final String[] OPERATORS = {
    "//=", "**", "//", "==", "!=", "<=", ">=", "+=", "-=", "*=", "/=", "%=", "+", "-", "*", "/",
    "%", "=", "<", ">", "(", ")", "[", "]", "{", "}", ",", ":", "."
  };

  /** The characters that may follow a backslash in a string. */
  private static final String ESCAPE_LETTERS = "nt\\\"'";

  /** The characters that the escape sequences denote, in the order of {@link #ESCAPE_LETTERS}. */
  private static final String ESCAPED_CHARACTERS = "\n\t\\\"'";

  private final SourceText source;
  private final List<SettingsError> errors;
  private final List<Token> tokens = new ArrayList<>();

  /** The indentations of the open blocks in spaces, innermost first. */
  private final ArrayDeque<Integer> indents = new ArrayDeque<>(List.of(0));

  private int openBrackets;

  /** Creates a lexer for the text of a file; lexical errors are added to the list. */
  Lexer(String file, String text, List<SettingsError> errors) {
    this.source = new SourceText(file, text);
    this.errors = errors;
  }

  /** Reads the whole file and returns its tokens; the last one is of kind END. */
  List<Token> tokenize() {
    boolean atLineStart = true;
    while (!source.atEnd()) {
      if (atLineStart && openBrackets == 0) {
        if (readIndentation()) {
          continue;
        }
        atLineStart = false;
      }
      char next = source.peek();
      if (next == '\n') {
        if (openBrackets == 0) {
          add(Token.Kind.NEWLINE);
          atLineStart = true;
        }
        source.advanceLine();
      } else if (next == ' ' || next == '\r') {
        source.advance();
      } else if (next == '#') {
        source.skipToEndOfLine();
      } else {
        readToken(next);
      }
    }
    addFinalTokens(atLineStart);
    return tokens;
  }

  private void addFinalTokens(boolean atLineStart) {
    if (!atLineStart) {
      add(Token.Kind.NEWLINE);
    }
    while (indents.pop() > 0) {
      add(Token.Kind.DEDENT);
    }
    add(Token.Kind.END);
  }

  private void add(Token.Kind kind) {
    tokens.add(new Token(kind, "", null, source.location()));
  }

  private void add(Token.Kind kind, String text, Object value, SourceLocation location) {
    tokens.add(new Token(kind, text, value, location));
  }

  private void addError(SourceLocation location, String message) {
    errors.add(new SettingsError(location, message));
  }

  /** Reads the indentation of a line. Returns true if the line has no tokens and was skipped. */
  private boolean readIndentation() {
    int start = source.position();
    while (source.nextIs(' ')) {
      source.advance();
    }
    int indent = source.position() - start;
    if (source.nextIs('#')) {
      source.skipToEndOfLine();
    }
    if (source.nextIs('\r')) {
      source.advance();
    }
    if (source.atEnd()) {
      return true;
    }
    if (source.peek() == '\n') {
      source.advanceLine();
      return true;
    }
    openOrCloseBlocks(indent);
    return false;
  }

  private void openOrCloseBlocks(int indent) {
    if (indent > indents.peek()) {
      indents.push(indent);
      add(Token.Kind.INDENT);
    }
    while (indent < indents.peek()) {
      indents.pop();
      add(Token.Kind.DEDENT);
      if (indent > indents.peek()) {
        addError(
            source.location(),
            "the indentation of this line does not match that of any enclosing block");
        indents.push(indent);
      }
    }
  }

  private void readToken(char first) {
    boolean isFraction =
        first == '.' && source.hasSecond() && Character.isDigit(source.peekSecond());
    if (Character.isDigit(first) || isFraction) {
      readNumber();
    } else if (first == '"' || first == '\'') {
      readString(first);
    } else if (Character.isLetter(first) || first == '_') {
      readWord();
    } else {
      readOperator(first);
    }
  }

  private void readWord() {
    SourceLocation location = source.location();
    int start = source.position();
    while (source.nextIsLetterOrDigit() || source.nextIs('_')) {
      source.advance();
    }
    String word = source.textFrom(start);
    if (UNSUPPORTED_KEYWORDS.contains(word)) {
      addError(location, "'" + word + "' is not supported in settings scripts");
    }
    add(KEYWORDS.contains(word) ? Token.Kind.KEYWORD : Token.Kind.NAME, word, null, location);
  }

  private void readOperator(char first) {
    SourceLocation location = source.location();
    for (String operator : OPERATORS) {
      if (source.startsWith(operator)) {
        source.advance(operator.length());
        countBracket(operator);
        add(Token.Kind.OPERATOR, operator, null, location);
        return;
      }
    }
    addError(
        location,
        first == '\t'
            ? "unexpected tab character: indent with spaces"
            : "unexpected character '" + first + "'");
    source.advance();
  }

  private void countBracket(String operator) {
    switch (operator) {
      case "(", "[", "{" -> openBrackets++;
      case ")", "]", "}" -> openBrackets = Math.max(0, openBrackets - 1);
      default -> {
        // Other operators do not change the bracket depth.
      }
    }
  }

  private void readNumber() {
    SourceLocation location = source.location();
    int start = source.position();
    boolean isFloat = false;
    while (nextBelongsToNumber()) {
      isFloat |= ".eE".indexOf(source.peek()) >= 0;
      source.advance();
    }
    String digits = source.textFrom(start).replace("_", "");
    Object value = 0L;
    try {
      value = isFloat ? (Object) parseFloat(digits) : (Object) Long.valueOf(digits);
    } catch (NumberFormatException e) {
      addError(location, "'" + digits + "' is not a valid number, or is too large");
    }
    add(Token.Kind.NUMBER, digits, value, location);
  }

  private boolean nextBelongsToNumber() {
    if (source.nextIsLetterOrDigit() || source.nextIs('.') || source.nextIs('_')) {
      return true;
    }
    boolean nextIsSign = source.nextIs('-') || source.nextIs('+');
    return nextIsSign && "eE".indexOf(source.previous()) >= 0;
  }

  /**
   * Parses a floating-point number. {@link Double#parseDouble} alone would accept suffixes and
   * return infinities, which are errors in a script.
   */
  private static double parseFloat(String digits) {
    if (!digits.matches("[0-9.eE+-]+")) {
      throw new NumberFormatException(digits);
    }
    double value = Double.parseDouble(digits);
    if (Double.isInfinite(value)) {
      throw new NumberFormatException(digits);
    }
    return value;
  }

  private void readString(char quote) {
    SourceLocation location = source.location();
    StringBuilder contents = new StringBuilder();
    source.advance();
    while (!source.atEnd() && source.peek() != quote && source.peek() != '\n') {
      if (source.peek() == '\\' && source.hasSecond() && source.peekSecond() != '\n') {
        source.advance();
        readEscape(contents);
      } else {
        contents.append(source.peek());
      }
      source.advance();
    }
    if (source.nextIs(quote)) {
      source.advance();
    } else {
      addError(location, "missing closing quote: a string must end on its line");
    }
    add(Token.Kind.STRING, contents.toString(), contents.toString(), location);
  }

  private void readEscape(StringBuilder contents) {
    int escape = ESCAPE_LETTERS.indexOf(source.peek());
    if (escape < 0) {
      addError(source.location(), "unknown escape sequence '\\" + source.peek() + "'");
    } else {
      contents.append(ESCAPED_CHARACTERS.charAt(escape));
    }
  }
}
