package stonespring.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/** Encodes complete messages. */
final class HttpEncoder {
  private static final String VERSION = "HTTP/1.1";

  private HttpEncoder() {}

  /** Encodes a request; content-length is added only if there is a body. */
  static ByteBuf encode(HttpRequest request) {
    String startLine = request.method() + ' ' + request.target() + ' ' + VERSION;
    return encode(startLine, request, request.body().length > 0);
  }

  static ByteBuf encode(HttpResponse response) {
    String startLine = VERSION + ' ' + response.status() + ' ' + response.reason();
    return encode(startLine, response, true);
  }

  private static ByteBuf encode(String startLine, HttpMessage message, boolean withLength) {
    StringBuilder head = new StringBuilder(startLine).append("\r\n");
    message
        .headers()
        .forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    if (withLength) {
      head.append("content-length: ").append(message.body().length).append("\r\n");
    }
    head.append("\r\n");
    ByteBuf out = Unpooled.buffer(head.length() + message.body().length);
    out.writeCharSequence(head, StandardCharsets.ISO_8859_1);
    return out.writeBytes(message.body());
  }
}
