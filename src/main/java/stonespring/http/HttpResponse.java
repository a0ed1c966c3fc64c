package stonespring.http;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A response; see {@link HttpMessage}. */
public record HttpResponse(int status, String reason, Map<String, String> headers, byte[] body)
    implements HttpMessage {
  /** A response with a text, empty for none. */
  public static HttpResponse of(int status, String text) {
    Map<String, String> headers = new LinkedHashMap<>();
    if (!text.isEmpty()) {
      headers.put("content-type", "text/plain; charset=utf-8");
    }
    return new HttpResponse(
        status, reasonPhrase(status), headers, text.getBytes(StandardCharsets.UTF_8));
  }

  /** Sets a header and returns this response. */
  public HttpResponse setHeader(String name, String value) {
    headers.put(HttpMessage.headerKey(name), value);
    return this;
  }

  /** Whether the status is 1xx: the final response is yet to come. */
  boolean isInformational() {
    return status < 200;
  }

  private static String reasonPhrase(int status) {
    return switch (status) {
      case 200 -> "OK";
      case 400 -> "Bad Request";
      case 404 -> "Not Found";
      case 429 -> "Too Many Requests";
      case 500 -> "Internal Server Error";
      case 502 -> "Bad Gateway";
      case 503 -> "Service Unavailable";
      case 504 -> "Gateway Timeout";
      default -> "Status";
    };
  }
}
