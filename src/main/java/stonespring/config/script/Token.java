package stonespring.config.script;

/**
 * A token of a script.
 *
 * @param text a name, a keyword, an operator, a number or the contents of a string; empty for other
 *     kinds
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

  /** Whether this is the given keyword or operator. */
  boolean is(String keywordOrOperator) {
    return isKeywordOrOperator() && text.equals(keywordOrOperator);
  }

  boolean isKeywordOrOperator() {
    return kind == Kind.OPERATOR || kind == Kind.KEYWORD;
  }

  /** This token as error messages name it. */
  String description() {
    return switch (kind) {
      case NEWLINE -> "the line's end";
      case INDENT -> "a deeper line";
      case DEDENT -> "the block's end";
      case END -> "the file's end";
      case STRING -> "a string";
      default -> "'" + text + "'";
    };
  }
}
