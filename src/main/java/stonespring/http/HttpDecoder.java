package stonespring.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Bytes to whole {@link HttpMessage}s (RFC 9112); an answer in chunks that is passed on as it comes
 * is its head, with an empty body, then byte arrays, and an {@link #END} if it ends. Forms by which
 * two readers could see different messages are refused: two lengths, a length beside chunks, folded
 * lines, a space before a colon, bare line ends.
 */
final class HttpDecoder extends ByteToMessageDecoder {
  private static final int LINE_MOST =
      8192; // bytes of the first line, a header or a chunk's size line
  private static final int HEADERS_MOST = 100;

  static final Object END =
      new Object(); // stands after the last chunk of an answer that was passed on

  private enum At {
    FIRST,
    HEADERS,
    BODY,
    CHUNK_SIZE,
    CHUNK,
    CHUNK_END,
    TRAILERS
  }

  private final boolean requests;
  private final int bodyMost;
  private final boolean passOn;
  private At at = At.FIRST;
  private String first;
  private String second;
  private Map<String, String> headers;
  private int headerLines;
  private int left;
  private boolean dead;
  private ByteArrayOutputStream body;

  HttpDecoder(boolean requests, int bodyMost) {
    this(requests, bodyMost, false);
  }

  /**
   * @param passOn chunks are handed on as they come, and bound alone, since their answer may never
   *     end
   */
  HttpDecoder(boolean requests, int bodyMost, boolean passOn) {
    this.requests = requests;
    this.bodyMost = bodyMost;
    this.passOn = passOn;
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    if (dead) {
      in.skipBytes(in.readableBytes()); // after a fault nothing that follows has a meaning
      return;
    }
    try {
      step(in, out);
    } catch (MalformedHttpException e) {
      dead = true;
      throw e;
    }
  }

  private void step(ByteBuf in, List<Object> out) {
    switch (at) {
      case FIRST -> {
        String line = line(in);
        if (line != null) {
          firstLine(line);
        }
      }
      case HEADERS, TRAILERS -> {
        String line = line(in);
        if (line != null) {
          header(line, out);
        }
      }
      case CHUNK_SIZE -> {
        String line = line(in);
        if (line != null) {
          chunkSize(line);
        }
      }
      case CHUNK_END -> {
        String line = line(in);
        if (line != null && !line.isEmpty()) {
          throw new MalformedHttpException("body: a chunk is longer than its size");
        }
        at = line == null ? at : At.CHUNK_SIZE;
      }
      case BODY, CHUNK -> bodyBytes(in, out);
      default -> throw new IllegalStateException(String.valueOf(at));
    }
  }

  private String line(ByteBuf in) {
    int end = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
    if (end < 0) {
      if (in.readableBytes() > LINE_MOST) {
        throw new MalformedHttpException(place() + ": a line is over " + LINE_MOST + " bytes");
      }
      return null;
    }
    int length = end - in.readerIndex();
    if (length > LINE_MOST || length == 0 || in.getByte(end - 1) != '\r') {
      throw new MalformedHttpException(
          place() + ": a line is over " + LINE_MOST + " bytes or does not end in CR LF");
    }
    String line = in.toString(in.readerIndex(), length - 1, StandardCharsets.ISO_8859_1);
    in.skipBytes(length + 1);
    if (line.chars().anyMatch(c -> c < ' ' && c != '\t' || c == 127)) {
      throw new MalformedHttpException(place() + ": a line holds a control character");
    }
    return line;
  }

  private String place() {
    return at == At.FIRST
        ? "first line"
        : at == At.HEADERS ? "header " + (headerLines + 1) : "body";
  }

  private void firstLine(String line) {
    if (line.isEmpty() && requests) {
      return; // RFC 9112, 2.2: empty lines before a request are passed over
    }
    String[] parts = line.split(" ", 3);
    if (requests) {
      if (parts.length != 3
          || !parts[2].matches("HTTP/1\\.[01]")
          || !parts[0].matches("[A-Z]{1,20}")
          || !parts[1].startsWith("/")) {
        throw new MalformedHttpException("first line: it is no request of HTTP/1.1");
      }
      second = parts[1];
    } else {
      if (parts.length < 2
          || !parts[0].matches("HTTP/1\\.[01]")
          || !parts[1].matches("[1-5][0-9][0-9]")) {
        throw new MalformedHttpException("first line: it is no answer of HTTP/1.1");
      }
      second = parts.length == 3 ? parts[2] : "";
    }
    first = requests ? parts[0] : parts[1];
    headers = new LinkedHashMap<>();
    headerLines = 0;
    body = new ByteArrayOutputStream();
    at = At.HEADERS;
  }

  private void header(String line, List<Object> out) {
    if (line.isEmpty()) {
      if (at == At.TRAILERS && passOn) {
        out.add(END);
        at = At.FIRST;
      } else if (at == At.TRAILERS) {
        done(out);
      } else {
        headersDone(out);
      }
      return;
    }
    if (++headerLines > HEADERS_MOST) {
      throw new MalformedHttpException(
          "header " + headerLines + ": over " + HEADERS_MOST + " of them");
    }
    int colon = line.indexOf(':');
    if (colon < 1 || !line.substring(0, colon).matches("[!#$%&'*+.^_`|~0-9A-Za-z-]+")) {
      throw new MalformedHttpException("header " + headerLines + ": it has no proper name");
    }
    if (at == At.TRAILERS) {
      return; // RFC 9110, 6.5: trailers may be left out
    }
    String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
    String value = line.substring(colon + 1).strip();
    String before = headers.put(name, value);
    if (before != null) {
      if (name.equals("content-length")
          || name.equals("transfer-encoding")
          || name.equals("host")) {
        throw new MalformedHttpException("header " + headerLines + ": '" + name + "' comes twice");
      }
      headers.put(name, before + ", " + value);
    }
  }

  private void headersDone(List<Object> out) {
    String length = headers.get("content-length");
    String encoding = headers.get("transfer-encoding");
    if (encoding != null) {
      if (length != null || !encoding.equalsIgnoreCase("chunked")) {
        throw new MalformedHttpException(
            "header 'transfer-encoding': it is not 'chunked', or a length stands beside it");
      }
      at = At.CHUNK_SIZE;
      if (passOn) {
        out.add(new HttpMessage(first, second, headers, body.toByteArray()));
      }
      return;
    }
    if (length != null && !length.matches("[0-9]{1,9}")) {
      throw new MalformedHttpException("header 'content-length': it is no length");
    }
    boolean bodiless =
        !requests && (first.startsWith("1") || first.equals("204") || first.equals("304"));
    if (length == null && !requests && !bodiless) {
      throw new MalformedHttpException(
          "header 'content-length': it is missing, and no chunks are announced");
    }
    left = length == null || bodiless ? 0 : bounded(Integer.parseInt(length));
    at = At.BODY;
    if (left == 0) {
      done(out);
    }
  }

  private int bounded(int size) {
    if (size > bodyMost - body.size()) {
      throw new MalformedHttpException("body: over " + bodyMost + " bytes");
    }
    return size;
  }

  private void chunkSize(String line) {
    int end = line.indexOf(';');
    String size = (end < 0 ? line : line.substring(0, end)).strip();
    if (!size.matches("[0-9A-Fa-f]{1,7}")) {
      throw new MalformedHttpException("body: a chunk's size is no number");
    }
    left = bounded(Integer.parseInt(size, 16));
    at = left == 0 ? At.TRAILERS : At.CHUNK;
  }

  private void bodyBytes(ByteBuf in, List<Object> out) {
    int count = Math.min(left, in.readableBytes());
    byte[] bytes = new byte[count];
    in.readBytes(bytes);
    left -= count;
    if (passOn && at == At.CHUNK) {
      if (count > 0) {
        out.add(bytes);
      }
    } else {
      body.write(bytes, 0, count);
    }
    if (left > 0) {
      return;
    }
    if (at == At.CHUNK) {
      at = At.CHUNK_END;
    } else {
      done(out);
    }
  }

  private void done(List<Object> out) {
    out.add(new HttpMessage(first, second, headers, body.toByteArray()));
    at = At.FIRST;
  }
}
