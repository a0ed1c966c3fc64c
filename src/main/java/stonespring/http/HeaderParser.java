package stonespring.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Collects the headers of one message, and checks its trailers. */
final class HeaderParser {
  private static final int MAX_HEADERS = 100;
  private static final String NAME_PATTERN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";

  /** Two of these could make two readers see different messages. */
  private static final Set<String> UNIQUE_HEADERS =
      Set.of("content-length", "transfer-encoding", "host");

  private final Map<String, String> headers = new LinkedHashMap<>();
  private int lineCount;

  /** Takes a header's line; values of a repeated header are joined. */
  void addHeader(String line) {
    int colon = checkLine(line);
    String name = HttpMessage.headerKey(line.substring(0, colon));
    String value = line.substring(colon + 1).strip();
    String previous = headers.put(name, value);
    if (previous != null) {
      if (UNIQUE_HEADERS.contains(name)) {
        throw new MalformedHttpException(place(lineCount), "'" + name + "' comes twice");
      }
      headers.put(name, previous + ", " + value);
    }
  }

  /** Takes a trailer's line, which may be left out (RFC 9110, 6.5). */
  void checkTrailer(String line) {
    checkLine(line);
  }

  /** Counts a line and returns the place of its colon. */
  private int checkLine(String line) {
    if (++lineCount > MAX_HEADERS) {
      throw new MalformedHttpException(place(lineCount), "over " + MAX_HEADERS + " of them");
    }
    int colon = line.indexOf(':');
    if (colon < 1 || !line.substring(0, colon).matches(NAME_PATTERN)) {
      throw new MalformedHttpException(place(lineCount), "it has no proper name");
    }
    return colon;
  }

  /** Where errors of the next line are reported. */
  String nextPlace() {
    return place(lineCount + 1);
  }

  private static String place(int line) {
    return "header " + line;
  }

  Map<String, String> headers() {
    return headers;
  }
}
