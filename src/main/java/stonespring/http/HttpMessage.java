package stonespring.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A whole message of HTTP/1.1 (RFC 9112). Header names are in lower case. In a request {@code
 * first} is the method and {@code second} the target; in an answer {@code first} is the status and
 * {@code second} the reason.
 */
public record HttpMessage(String first, String second, Map<String, String> headers, byte[] body) {
  private static final byte[] NONE = new byte[0];

  public static HttpMessage get(String target) {
    return new HttpMessage("GET", target, new LinkedHashMap<>(), NONE);
  }

  /** The same, for whom it is sent to. */
  public static HttpMessage get(InetSocketAddress to, String target) {
    return get(target).with("host", to.getHostString() + ":" + to.getPort());
  }

  public static HttpMessage answer(int status, String text) {
    Map<String, String> headers = new LinkedHashMap<>();
    if (!text.isEmpty()) {
      headers.put("content-type", "text/plain; charset=utf-8");
    }
    return new HttpMessage(
        String.valueOf(status), reason(status), headers, text.getBytes(StandardCharsets.UTF_8));
  }

  public HttpMessage with(String header, String value) {
    headers.put(header.toLowerCase(Locale.ROOT), value);
    return this;
  }

  public String header(String name) {
    return headers.getOrDefault(name, "");
  }

  public int status() {
    return Integer.parseInt(first);
  }

  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  private static String reason(int status) {
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

  ByteBuf bytes(boolean request) {
    StringBuilder head = new StringBuilder();
    if (request) {
      head.append(first).append(' ').append(second).append(" HTTP/1.1\r\n");
    } else {
      head.append("HTTP/1.1 ").append(first).append(' ').append(second).append("\r\n");
    }
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    if (!request || body.length > 0) {
      head.append("content-length: ").append(body.length).append("\r\n");
    }
    head.append("\r\n");
    ByteBuf out = Unpooled.buffer(head.length() + body.length);
    out.writeCharSequence(head, StandardCharsets.ISO_8859_1);
    return out.writeBytes(body);
  }
}
