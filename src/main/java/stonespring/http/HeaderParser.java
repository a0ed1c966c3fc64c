package stonespring.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** Collects the headers of one message and checks its trailers. */
final class HeaderParser {
  /** Applies to the headers and trailers of a message together. */
  private static final int MAX_HEADERS = 100;

  /** Applies to the first line, the headers and the trailers of a message together. */
  private static final int MAX_HEAD_BYTES = 32 << 10;

  private static final Pattern NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");

  /** Headers whose repetition different HTTP implementations could interpret differently. */
  private static final Set<String> UNIQUE_HEADERS =
      Set.of("content-length", "transfer-encoding", "host");

  private final Map<String, String> headers = new LinkedHashMap<>();
  private int lineCount;
  private int headBytes;

  /** Creates the parser of a message whose first line has the given length. */
  HeaderParser(int firstLineBytes) {
    headBytes = firstLineBytes;
  }

  /** Adds a header line; the values of a repeated header are joined with a comma. */
  void addHeader(String line) {
    int colon = checkLine(line);
    String name = HttpMessage.headerKey(line.substring(0, colon));
    String value = line.substring(colon + 1).strip();
    String previous = headers.put(name, value);
    if (previous != null) {
      if (UNIQUE_HEADERS.contains(name)) {
        throw new MalformedHttpException(location(lineCount), "'" + name + "' comes twice");
      }
      headers.put(name, previous + ", " + value);
    }
  }

  /** Checks a trailer line and discards it, which RFC 9110, 6.5 permits. */
  void checkTrailer(String line) {
    checkLine(line);
  }

  /** Counts and checks a header or trailer line; returns the index of its colon. */
  private int checkLine(String line) {
    headBytes += line.length();
    if (++lineCount > MAX_HEADERS) {
      throw new MalformedHttpException(
          location(lineCount),
          "over " + MAX_HEADERS + " of them",
          MalformedHttpException.STATUS_HEAD_TOO_LARGE);
    }
    if (headBytes > MAX_HEAD_BYTES) {
      throw new MalformedHttpException(
          location(lineCount),
          "the head is over " + MAX_HEAD_BYTES + " bytes",
          MalformedHttpException.STATUS_HEAD_TOO_LARGE);
    }
    int colon = line.indexOf(':');
    if (colon < 1 || !NAME.matcher(line.substring(0, colon)).matches()) {
      throw new MalformedHttpException(location(lineCount), "it has no proper name");
    }
    return colon;
  }

  /** Returns the location to report in an error of the next line. */
  String nextLocation() {
    return location(lineCount + 1);
  }

  private static String location(int line) {
    return "header " + line;
  }

  /** Returns the approximate memory in bytes that the lines so far hold. */
  long memoryBytes() {
    return headBytes + (long) HttpRequest.OBJECT_BYTES * (1 + lineCount);
  }

  Map<String, String> headers() {
    return headers;
  }
}
