package stonespring.line;

import io.netty.buffer.ByteBuf;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.List;
import stonespring.netty.FailStopDecoder;

/**
 * Decodes bytes to {@link LineMessage}s. A line is UTF-8 text of bounded length without control
 * characters, and ends in CR LF.
 */
final class LineDecoder extends FailStopDecoder {
  private static final int DELETE_CHARACTER = 127;

  private final int maxLineBytes;

  /**
   * Number of bytes of an incomplete line that were already searched for a line feed without
   * success. The next search starts after them.
   */
  private int searchedBytes;

  LineDecoder(int maxLineBytes) {
    this.maxLineBytes = maxLineBytes;
  }

  @Override
  protected void decode(ByteBuf in, List<Object> out) {
    int start = in.readerIndex();
    int lineFeed = in.indexOf(start + searchedBytes, in.writerIndex(), (byte) '\n');
    int length = (lineFeed < 0 ? in.writerIndex() : lineFeed) - start;
    if (length > maxLineBytes) {
      throw new MalformedLineException("a line is over " + maxLineBytes + " bytes");
    }
    if (lineFeed < 0) {
      searchedBytes = length;
      return;
    }
    searchedBytes = 0;
    if (length < 2 || in.getByte(lineFeed - 1) != '\r') {
      throw new MalformedLineException("a line is empty or does not end in CR LF");
    }
    byte[] bytes = new byte[length - 1];
    in.readBytes(bytes);
    in.skipBytes("\r\n".length());
    out.add(LineMessage.parse(decodeText(bytes)));
  }

  @Override
  protected long decodedPartBytes() {
    return 0;
  }

  @Override
  protected void discardDecodedParts() {
    // A line is decoded as a whole.
  }

  private static String decodeText(byte[] bytes) {
    String text = decodeUtf8(bytes);
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) < ' ' || text.charAt(i) == DELETE_CHARACTER) {
        throw new MalformedLineException("a line holds a control character");
      }
    }
    return text;
  }

  private static String decodeUtf8(byte[] bytes) {
    try {
      return StandardCharsets.UTF_8
          .newDecoder()
          .onMalformedInput(CodingErrorAction.REPORT)
          .decode(ByteBuffer.wrap(bytes))
          .toString();
    } catch (CharacterCodingException e) {
      // The bytes are not valid UTF-8.
      throw new MalformedLineException("a line is no text");
    }
  }
}
