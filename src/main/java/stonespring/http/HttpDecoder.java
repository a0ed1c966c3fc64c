package stonespring.http;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import stonespring.netty.FailStopDecoder;

/**
 * Decodes bytes into complete {@link HttpMessage}s (RFC 9112). In streaming mode a chunked response
 * is emitted as it arrives: its head as a response with an empty body, then {@link StreamPart}s.
 * Forms that different HTTP implementations could interpret differently are rejected, since they
 * allow request smuggling: repeated lengths, a length together with chunked encoding, folded header
 * lines, a space before a colon, line ends without CR.
 */
final class HttpDecoder extends FailStopDecoder {
  /** Applies to the first line, header and trailer lines and chunk size lines. */
  private static final int MAX_LINE_BYTES = 8192;

  private static final int DELETE_CHARACTER = 127;
  private static final String BODY_LOCATION = "body";
  private static final String LENGTH_HEADER = "content-length";
  private static final String ENCODING_HEADER = "transfer-encoding";
  private static final Pattern BODY_SIZE = Pattern.compile("[0-9]{1,9}");
  private static final Pattern CHUNK_SIZE = Pattern.compile("[0-9A-Fa-f]{1,7}");

  private enum State {
    START_LINE,
    HEADERS,
    BODY,
    CHUNK_SIZE,
    CHUNK,
    CHUNK_END,
    TRAILERS
  }

  private final boolean decodesRequests;
  private final boolean streaming;
  private final int maxBodyBytes;
  private State state = State.START_LINE;
  private StartLine startLine;
  private HeaderParser headerParser = new HeaderParser(0);
  private ByteArrayOutputStream body;

  /** Bytes of the current body or chunk that have not arrived yet. */
  private int remainingBytes;

  private HttpDecoder(boolean decodesRequests, boolean streaming, int maxBodyBytes) {
    this.decodesRequests = decodesRequests;
    this.streaming = streaming;
    this.maxBodyBytes = maxBodyBytes;
  }

  static HttpDecoder forRequests(int maxBodyBytes) {
    return new HttpDecoder(true, false, maxBodyBytes);
  }

  static HttpDecoder forResponses(int maxBodyBytes) {
    return new HttpDecoder(false, false, maxBodyBytes);
  }

  /**
   * Creates a decoder that emits chunks as they arrive. The limit applies to each chunk alone, as
   * the response may never end.
   */
  static HttpDecoder forStreamedResponses(int maxChunkBytes) {
    return new HttpDecoder(false, true, maxChunkBytes);
  }

  @Override
  protected void decode(ByteBuf in, List<Object> out) {
    if (state == State.BODY || state == State.CHUNK) {
      readBody(in, out);
      return;
    }
    String line = readLine(in);
    if (line != null) {
      acceptLine(line, out);
    }
  }

  private void acceptLine(String line, List<Object> out) {
    switch (state) {
      case START_LINE -> acceptStartLine(line);
      case HEADERS -> acceptHeader(line, out);
      case CHUNK_SIZE -> acceptChunkSize(line);
      case CHUNK_END -> acceptChunkEnd(line);
      case TRAILERS -> acceptTrailer(line, out);
      default -> throw new IllegalStateException(String.valueOf(state));
    }
  }

  /** Reads a line and returns it without CR LF; returns null while the line is incomplete. */
  private String readLine(ByteBuf in) {
    int lineFeed = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
    if (lineFeed < 0) {
      if (in.readableBytes() > MAX_LINE_BYTES) {
        throw lineTooLong();
      }
      return null;
    }
    int length = lineFeed - in.readerIndex();
    if (length > MAX_LINE_BYTES) {
      throw lineTooLong();
    }
    if (length == 0 || in.getByte(lineFeed - 1) != '\r') {
      throw new MalformedHttpException(location(), "a line does not end in CR LF");
    }
    String line = in.toString(in.readerIndex(), length - 1, StandardCharsets.ISO_8859_1);
    in.skipBytes(length + 1);
    if (containsControlCharacter(line)) {
      throw new MalformedHttpException(location(), "a line holds a control character");
    }
    return line;
  }

  private MalformedHttpException lineTooLong() {
    boolean inHead = state == State.START_LINE || state == State.HEADERS;
    return new MalformedHttpException(
        location(),
        "a line is over " + MAX_LINE_BYTES + " bytes",
        inHead
            ? MalformedHttpException.STATUS_HEAD_TOO_LARGE
            : MalformedHttpException.STATUS_BAD_REQUEST);
  }

  private static boolean containsControlCharacter(String line) {
    for (int i = 0; i < line.length(); i++) {
      char character = line.charAt(i);
      if (character < ' ' && character != '\t' || character == DELETE_CHARACTER) {
        return true;
      }
    }
    return false;
  }

  /** Returns the location to report in an error of the next line. */
  private String location() {
    return switch (state) {
      case START_LINE -> StartLine.LOCATION;
      case HEADERS -> headerParser.nextLocation();
      default -> BODY_LOCATION;
    };
  }

  private void acceptStartLine(String line) {
    if (line.isEmpty() && decodesRequests) {
      return; // RFC 9112, 2.2: empty lines before a request are ignored
    }
    startLine = decodesRequests ? StartLine.Request.parse(line) : StartLine.Response.parse(line);
    headerParser = new HeaderParser(line.length());
    body = new ByteArrayOutputStream();
    state = State.HEADERS;
  }

  private void acceptHeader(String line, List<Object> out) {
    if (line.isEmpty()) {
      startBody(out);
    } else {
      headerParser.addHeader(line);
    }
  }

  private void startBody(List<Object> out) {
    Map<String, String> values = headerParser.headers();
    String length = values.get(LENGTH_HEADER);
    String encoding = values.get(ENCODING_HEADER);
    if (encoding == null) {
      startBodyOfLength(length, out);
      return;
    }
    if (length != null || !encoding.equalsIgnoreCase("chunked")) {
      throw new MalformedHttpException(
          headerLocation(ENCODING_HEADER), "it is not 'chunked', or a length stands beside it");
    }
    state = State.CHUNK_SIZE;
    if (streaming) {
      out.add(toMessage());
    }
  }

  private void startBodyOfLength(String length, List<Object> out) {
    if (length != null && !BODY_SIZE.matcher(length).matches()) {
      throw new MalformedHttpException(headerLocation(LENGTH_HEADER), "it is no length");
    }
    if (length == null && startLine.requiresLength()) {
      throw new MalformedHttpException(
          headerLocation(LENGTH_HEADER), "it is missing, and no chunks are announced");
    }
    boolean empty = length == null || startLine.excludesBody();
    remainingBytes = empty ? 0 : checkBodySize(Integer.parseInt(length));
    state = State.BODY;
    if (remainingBytes == 0) {
      completeMessage(out);
    }
  }

  private static String headerLocation(String name) {
    return "header '" + name + "'";
  }

  private int checkBodySize(int bytes) {
    if (bytes > maxBodyBytes - body.size()) {
      throw new MalformedHttpException(
          BODY_LOCATION,
          "over " + maxBodyBytes + " bytes",
          MalformedHttpException.STATUS_BODY_TOO_LARGE);
    }
    return bytes;
  }

  private void acceptChunkSize(String line) {
    int extension = line.indexOf(';');
    String size = (extension < 0 ? line : line.substring(0, extension)).strip();
    if (!CHUNK_SIZE.matcher(size).matches()) {
      throw new MalformedHttpException(BODY_LOCATION, "a chunk's size is no number");
    }
    remainingBytes = checkBodySize(Integer.parseInt(size, 16));
    state = remainingBytes == 0 ? State.TRAILERS : State.CHUNK;
  }

  private void acceptChunkEnd(String line) {
    if (!line.isEmpty()) {
      throw new MalformedHttpException(BODY_LOCATION, "a chunk is longer than its size");
    }
    state = State.CHUNK_SIZE;
  }

  private void acceptTrailer(String line, List<Object> out) {
    if (!line.isEmpty()) {
      headerParser.checkTrailer(line);
    } else if (streaming) {
      out.add(new StreamPart.End());
      state = State.START_LINE;
    } else {
      completeMessage(out);
    }
  }

  private void readBody(ByteBuf in, List<Object> out) {
    byte[] bytes = new byte[Math.min(remainingBytes, in.readableBytes())];
    in.readBytes(bytes);
    remainingBytes -= bytes.length;
    if (!streaming || state == State.BODY) {
      body.write(bytes, 0, bytes.length);
    } else if (bytes.length > 0) {
      out.add(new StreamPart.Bytes(bytes));
    }
    if (remainingBytes > 0) {
      return;
    }
    if (state == State.CHUNK) {
      state = State.CHUNK_END;
    } else {
      completeMessage(out);
    }
  }

  @Override
  protected long decodedPartBytes() {
    return state == State.START_LINE ? 0 : headerParser.memoryBytes() + body.size();
  }

  @Override
  protected void discardDecodedParts() {
    state = State.START_LINE;
    headerParser = new HeaderParser(0);
    body = new ByteArrayOutputStream();
  }

  private void completeMessage(List<Object> out) {
    out.add(toMessage());
    state = State.START_LINE;
  }

  private HttpMessage toMessage() {
    return startLine.toMessage(headerParser.headers(), body.toByteArray());
  }
}
