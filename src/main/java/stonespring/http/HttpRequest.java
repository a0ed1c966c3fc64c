package stonespring.http;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;

/** An HTTP request; see {@link HttpMessage}. */
public record HttpRequest(String method, String target, Map<String, String> headers, byte[] body)
    implements HttpMessage {
  private static final byte[] NO_BODY = new byte[0];

  /** Memory of a header or of the request's own objects, beside their characters. */
  static final int OBJECT_BYTES = 128;

  /** Creates a GET request with the host header for the server. */
  public static HttpRequest get(InetSocketAddress server, String target) {
    return withHost("GET", server, target, NO_BODY);
  }

  /** Creates a POST request with the host header for the server. */
  public static HttpRequest post(InetSocketAddress server, String target, byte[] body) {
    return withHost("POST", server, target, body);
  }

  private static HttpRequest withHost(
      String method, InetSocketAddress server, String target, byte[] body) {
    return new HttpRequest(method, target, new LinkedHashMap<>(), body)
        .setHeader("host", server.getHostString() + ":" + server.getPort());
  }

  /** Sets a header, replacing a previous value, and returns this request. */
  public HttpRequest setHeader(String name, String value) {
    headers.put(HttpMessage.headerKey(name), value);
    return this;
  }

  /** Returns the approximate memory in bytes that this request holds. */
  long memoryBytes() {
    long bytes = OBJECT_BYTES + target.length() + body.length;
    for (Map.Entry<String, String> header : headers.entrySet()) {
      bytes += OBJECT_BYTES + header.getKey().length() + header.getValue().length();
    }
    return bytes;
  }
}
