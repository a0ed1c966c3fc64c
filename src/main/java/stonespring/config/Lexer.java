package stonespring.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Text to tokens: indentation becomes INDENT and DEDENT; lines go on inside brackets. */
final class Lexer {
  private static final Set<String> WORDS =
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
  private static final Set<String> REFUSED =
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
  private static final String[] OPS = {
    "//=", "**", "//", "==", "!=", "<=", ">=", "+=", "-=", "*=", "/=", "%=", "+", "-", "*", "/",
    "%", "=", "<", ">", "(", ")", "[", "]", "{", "}", ",", ":", "."
  };

  private final String file;
  private final String text;
  private final List<SettingsError> faults;
  private final List<Token> tokens = new ArrayList<>();
  private final ArrayDeque<Integer> indents = new ArrayDeque<>(List.of(0));
  private int at;
  private int line = 1;
  private int lineStart;
  private int brackets;

  Lexer(String file, String text, List<SettingsError> faults) {
    this.file = file;
    this.text = text;
    this.faults = faults;
  }

  private SourceLocation place() {
    return new SourceLocation(file, line, at - lineStart + 1);
  }

  private void add(Token.Kind kind, String word, Object value, SourceLocation place) {
    tokens.add(new Token(kind, word, value, place));
  }

  private void newLine() {
    at++;
    line++;
    lineStart = at;
  }

  List<Token> tokens() {
    boolean lineBegins = true;
    while (at < text.length()) {
      if (lineBegins && brackets == 0) {
        if (indentation()) {
          continue;
        }
        lineBegins = false;
      }
      char c = text.charAt(at);
      if (c == '\n') {
        if (brackets == 0) {
          add(Token.Kind.NEWLINE, "", null, place());
          lineBegins = true;
        }
        newLine();
      } else if (c == ' ' || c == '\r') {
        at++;
      } else if (c == '#') {
        comment();
      } else {
        token(c);
      }
    }
    if (!lineBegins) {
      add(Token.Kind.NEWLINE, "", null, place());
    }
    while (indents.pop() > 0) {
      add(Token.Kind.DEDENT, "", null, place());
    }
    add(Token.Kind.END, "", null, place());
    return tokens;
  }

  private void comment() {
    while (at < text.length() && text.charAt(at) != '\n') {
      at++;
    }
  }

  /** Reads a line's indentation; true where the line is empty and was passed over. */
  private boolean indentation() {
    int start = at;
    while (at < text.length() && text.charAt(at) == ' ') {
      at++;
    }
    int depth = at - start;
    if (at < text.length() && text.charAt(at) == '#') {
      comment();
    }
    if (at < text.length() && text.charAt(at) == '\r') {
      at++;
    }
    if (at >= text.length() || text.charAt(at) == '\n') {
      if (at < text.length()) {
        newLine();
      }
      return true;
    }
    if (depth > indents.peek()) {
      indents.push(depth);
      add(Token.Kind.INDENT, "", null, place());
    }
    while (depth < indents.peek()) {
      indents.pop();
      add(Token.Kind.DEDENT, "", null, place());
      if (depth > indents.peek()) {
        faults.add(new SettingsError(place(), "this line's indentation fits no block"));
        indents.push(depth);
      }
    }
    return false;
  }

  private void token(char c) {
    SourceLocation place = place();
    if (Character.isDigit(c)
        || c == '.' && at + 1 < text.length() && Character.isDigit(text.charAt(at + 1))) {
      number(place);
    } else if (c == '"' || c == '\'') {
      string(c, place);
    } else if (Character.isLetter(c) || c == '_') {
      int start = at;
      while (at < text.length()
          && (Character.isLetterOrDigit(text.charAt(at)) || text.charAt(at) == '_')) {
        at++;
      }
      String word = text.substring(start, at);
      if (REFUSED.contains(word)) {
        faults.add(new SettingsError(place, "'" + word + "' is not part of this language"));
      }
      add(WORDS.contains(word) ? Token.Kind.WORD : Token.Kind.NAME, word, null, place);
    } else {
      operator(c, place);
    }
  }

  private void operator(char c, SourceLocation place) {
    for (String op : OPS) {
      if (text.startsWith(op, at)) {
        at += op.length();
        brackets += "([{".contains(op) ? 1 : ")]}".contains(op) ? -1 : 0;
        brackets = Math.max(0, brackets);
        add(Token.Kind.OP, op, null, place);
        return;
      }
    }
    faults.add(
        new SettingsError(
            place, c == '\t' ? "a tab: indent by spaces" : "'" + c + "' means nothing here"));
    at++;
  }

  private void number(SourceLocation place) {
    int start = at;
    boolean real = false;
    while (at < text.length()
        && (Character.isLetterOrDigit(text.charAt(at))
            || text.charAt(at) == '.'
            || text.charAt(at) == '_'
            || (text.charAt(at) == '-' || text.charAt(at) == '+')
                && "eE".indexOf(text.charAt(at - 1)) >= 0)) {
      real |= ".eE".indexOf(text.charAt(at)) >= 0;
      at++;
    }
    String word = text.substring(start, at).replace("_", "");
    Object value = 0L;
    try {
      value = real ? (Object) Double.valueOf(checked(word)) : (Object) Long.valueOf(word);
    } catch (NumberFormatException e) {
      faults.add(new SettingsError(place, "'" + word + "' is no number, or too large a one"));
    }
    add(Token.Kind.NUMBER, word, value, place);
  }

  /** Java's reader takes suffixes and infinities that a script must not have. */
  private static double checked(String word) {
    double value = Double.parseDouble(word.matches("[0-9.eE+-]+") ? word : "");
    if (Double.isInfinite(value)) {
      throw new NumberFormatException(word);
    }
    return value;
  }

  private void string(char quote, SourceLocation place) {
    StringBuilder out = new StringBuilder();
    for (at++; at < text.length() && text.charAt(at) != quote && text.charAt(at) != '\n'; at++) {
      char c = text.charAt(at);
      if (c == '\\' && at + 1 < text.length()) {
        at++;
        int escape = "nt\\\"'".indexOf(text.charAt(at));
        if (escape < 0) {
          faults.add(new SettingsError(place(), "'\\" + text.charAt(at) + "' is no escape"));
        } else {
          out.append("\n\t\\\"'".charAt(escape));
        }
      } else {
        out.append(c);
      }
    }
    if (at >= text.length() || text.charAt(at) != quote) {
      faults.add(new SettingsError(place, "this string does not end on its line"));
    } else {
      at++;
    }
    add(Token.Kind.STRING, out.toString(), out.toString(), place);
  }
}
