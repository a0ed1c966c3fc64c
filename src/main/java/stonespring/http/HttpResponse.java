package stonespring.http;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** An HTTP response; see {@link HttpMessage}. */
public record HttpResponse(int status, String reason, Map<String, String> headers, byte[] body)
    implements HttpMessage {
  /** Creates a response with a plain-text body; an empty text gives an empty body. */
  public static HttpResponse of(int status, String text) {
    Map<String, String> headers = new LinkedHashMap<>();
    if (!text.isEmpty()) {
      headers.put("content-type", "text/plain; charset=utf-8");
    }
    return new HttpResponse(
        status, reasonPhrase(status), headers, text.getBytes(StandardCharsets.UTF_8));
  }

  /** Sets a header, replacing a previous value, and returns this response. */
  public HttpResponse setHeader(String name, String value) {
    headers.put(HttpMessage.headerKey(name), value);
    return this;
  }

  /** Returns whether the status is 1xx, so that the final response is still to come. */
  boolean isInformational() {
    return status < 200;
  }

  private static String reasonPhrase(int status) {
    return switch (status) {
      case 200 -> "OK";
      case 400 -> "Bad Request";
      case 404 -> "Not Found";
      case 408 -> "Request Timeout";
      case 413 -> "Content Too Large";
      case 429 -> "Too Many Requests";
      case 431 -> "Request Header Fields Too Large";
      case 500 -> "Internal Server Error";
      case 502 -> "Bad Gateway";
      case 503 -> "Service Unavailable";
      case 504 -> "Gateway Timeout";
      default -> "Status";
    };
  }
}
