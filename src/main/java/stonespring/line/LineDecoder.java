package stonespring.line;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Bytes to {@link LineMessage}s: lines that end in CR LF, of UTF-8 text without control characters,
 * of bounded length.
 */
final class LineDecoder extends ByteToMessageDecoder {
  private final int bytesMost;
  private int looked;
  private boolean dead;

  LineDecoder(int bytesMost) {
    this.bytesMost = bytesMost;
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    if (dead) {
      in.skipBytes(in.readableBytes()); // after a fault nothing that follows has a meaning
      return;
    }
    try {
      String line = line(in);
      if (line != null) {
        out.add(LineMessage.read(line));
      }
    } catch (MalformedLineException e) {
      dead = true;
      throw e;
    }
  }

  private String line(ByteBuf in) {
    int from = in.readerIndex();
    int end = in.indexOf(from + looked, in.writerIndex(), (byte) '\n');
    int length = (end < 0 ? in.writerIndex() : end) - from;
    if (length > bytesMost) {
      throw new MalformedLineException("a line is over " + bytesMost + " bytes");
    }
    if (end < 0) {
      looked = length; // a line that comes byte by byte is searched once, not once for each byte
      return null;
    }
    looked = 0;
    if (length < 2 || in.getByte(end - 1) != '\r') {
      throw new MalformedLineException("a line is empty or does not end in CR LF");
    }
    byte[] bytes = new byte[length - 1];
    in.readBytes(bytes);
    in.skipBytes(2);
    String line;
    try {
      line =
          StandardCharsets.UTF_8
              .newDecoder()
              .onMalformedInput(CodingErrorAction.REPORT)
              .decode(ByteBuffer.wrap(bytes))
              .toString();
    } catch (CharacterCodingException e) {
      throw new MalformedLineException("a line is no text");
    }
    for (int i = 0; i < line.length(); i++) {
      if (line.charAt(i) < ' ' || line.charAt(i) == 127) {
        throw new MalformedLineException("a line holds a control character");
      }
    }
    return line;
  }
}
