package stonespring.config;

/** A token; {@code text} is a name, an operator or a string's value. */
record Token(Kind kind, String text, Object value, SourceLocation place) {
  enum Kind {
    NAME,
    WORD,
    NUMBER,
    STRING,
    OP,
    NEWLINE,
    INDENT,
    DEDENT,
    END
  }

  boolean is(String wanted) {
    return (kind == Kind.OP || kind == Kind.WORD) && text.equals(wanted);
  }

  String shown() {
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
