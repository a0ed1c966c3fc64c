package stonespring.config.script;

/** The text of a file, and the lexer's position in it. */
final class SourceText {
  private final String file;
  private final String text;
  private int position;
  private int line = 1;
  private int lineStart;

  SourceText(String file, String text) {
    this.file = file;
    this.text = text;
  }

  boolean atEnd() {
    return position >= text.length();
  }

  /** The next character; must not be called at the end. */
  char peek() {
    return text.charAt(position);
  }

  boolean nextIs(char expected) {
    return !atEnd() && peek() == expected;
  }

  boolean nextIsLetterOrDigit() {
    return !atEnd() && Character.isLetterOrDigit(peek());
  }

  boolean startsWith(String prefix) {
    return text.startsWith(prefix, position);
  }

  /** Whether the next character is followed by another one. */
  boolean hasSecond() {
    return position + 1 < text.length();
  }

  /** The character after the next one; must not be called unless {@link #hasSecond}. */
  char peekSecond() {
    return text.charAt(position + 1);
  }

  /** The character before the next one; must not be called at the start. */
  char previous() {
    return text.charAt(position - 1);
  }

  void advance() {
    position++;
  }

  void advance(int characters) {
    position += characters;
  }

  /** Moves past a line end to the start of the next line. */
  void advanceLine() {
    position++;
    line++;
    lineStart = position;
  }

  void skipToEndOfLine() {
    while (!atEnd() && peek() != '\n') {
      position++;
    }
  }

  int position() {
    return position;
  }

  String textFrom(int start) {
    return text.substring(start, position);
  }

  SourceLocation location() {
    return new SourceLocation(file, line, position - lineStart + 1);
  }
}
