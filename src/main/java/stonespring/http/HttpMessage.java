package stonespring.http;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

/**
 * A whole message of HTTP/1.1. Header names are in lower case, in the order in which they are sent.
 * A message may be changed by one thread until it is sent.
 */
public sealed interface HttpMessage permits HttpRequest, HttpResponse {
  /** The headers by their names in lower case. */
  Map<String, String> headers();

  /** The body's bytes; empty if there is none. */
  byte[] body();

  /**
   * The value of a header; empty if it is missing.
   *
   * @param name in lower case
   */
  default String header(String name) {
    return headers().getOrDefault(name, "");
  }

  /** The body as UTF-8 text. */
  default String text() {
    return new String(body(), StandardCharsets.UTF_8);
  }

  /** The form of a header's name as a key of {@link #headers}. */
  static String headerKey(String name) {
    return name.toLowerCase(Locale.ROOT);
  }
}
