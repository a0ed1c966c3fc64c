package stonespring.http;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

/**
 * A complete HTTP/1.1 message. Header names are in lower case; headers are sent in the order of the
 * map. A message is not thread-safe and must not be modified once it is sent.
 */
public sealed interface HttpMessage permits HttpRequest, HttpResponse {
  /** Returns the header values by header name in lower case. */
  Map<String, String> headers();

  /** Returns the body; an empty array if there is none. */
  byte[] body();

  /**
   * Returns the value of a header, or an empty string if the header is missing.
   *
   * @param name the header name in lower case
   */
  default String header(String name) {
    return headers().getOrDefault(name, "");
  }

  /** Returns the body decoded as UTF-8. */
  default String text() {
    return new String(body(), StandardCharsets.UTF_8);
  }

  /** Returns the key of a header in {@link #headers}: its name in lower case. */
  static String headerKey(String name) {
    return name.toLowerCase(Locale.ROOT);
  }
}
