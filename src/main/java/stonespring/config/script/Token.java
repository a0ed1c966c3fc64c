package stonespring.config.script;

/**
 * A token of a script.
 *
 * @param text the name, keyword, operator, number or contents of the string; empty for other kinds
 * @param value the value of a number or a string; null for other kinds
 */
record Token(Kind kind, String text, Object value, SourceLocation location) {
  enum Kind {
    NAME,
    KEYWORD,
    NUMBER,
    STRING,
    OPERATOR,
    NEWLINE,
    INDENT,
    DEDENT,
    END
  }

  /** Whether this token is the given keyword or operator. */
  boolean is(String keywordOrOperator) {
    return isKeywordOrOperator() && text.equals(keywordOrOperator);
  }

  boolean isKeywordOrOperator() {
    return kind == Kind.OPERATOR || kind == Kind.KEYWORD;
  }

  /** This token as error messages describe it. */
  String description() {
    return switch (kind) {
      case NEWLINE -> "the end of the line";
      case INDENT -> "an indented line";
      case DEDENT -> "the end of the block";
      case END -> "the end of the file";
      case STRING -> "a string";
      default -> "'" + text + "'";
    };
  }
}
