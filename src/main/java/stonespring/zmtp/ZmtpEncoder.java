package stonespring.zmtp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Encodes greetings, commands and messages (RFC 37, "Formal Grammar"). Thread-safe. */
public final class ZmtpEncoder {
  private static final int MAX_SHORT_FRAME_BYTES = 255;
  private static final int SHORT_HEADER_BYTES = 2;
  private static final int LONG_HEADER_BYTES = 9;
  private static final String MECHANISM = "NULL";

  private ZmtpEncoder() {}

  static ByteBuf encodeGreeting(boolean asServer) {
    ByteBuf out = Unpooled.buffer(GreetingDecoder.GREETING_BYTES);
    out.writeByte(0xFF).writeZero(8).writeByte(0x7F); // signature
    out.writeByte(3).writeByte(1); // version
    out.writeBytes(MECHANISM.getBytes(StandardCharsets.US_ASCII)).writeZero(16);
    return out.writeByte(asServer ? 1 : 0).writeZero(31);
  }

  /** Encodes a message; the same bytes can be written to any number of connections. */
  public static ByteBuf encodeMessage(ByteBufAllocator allocator, List<byte[]> frames) {
    int size = 0;
    for (byte[] frame : frames) {
      size += frame.length + (isLong(frame) ? LONG_HEADER_BYTES : SHORT_HEADER_BYTES);
    }
    ByteBuf out = allocator.buffer(size);
    appendMessage(out, frames);
    return out;
  }

  /** Appends an encoded message to a buffer, so that several messages share one write. */
  public static void appendMessage(ByteBuf out, List<byte[]> frames) {
    for (int i = 0; i < frames.size(); i++) {
      boolean last = i == frames.size() - 1;
      appendFrame(out, last ? 0 : FrameFlags.MORE, frames.get(i));
    }
  }

  static ByteBuf encodeCommand(String name, byte[] data) {
    byte[] body = new byte[1 + name.length() + data.length];
    body[0] = (byte) name.length();
    System.arraycopy(name.getBytes(StandardCharsets.US_ASCII), 0, body, 1, name.length());
    System.arraycopy(data, 0, body, 1 + name.length(), data.length);
    ByteBuf out = Unpooled.buffer(body.length + LONG_HEADER_BYTES);
    appendFrame(out, FrameFlags.COMMAND, body);
    return out;
  }

  private static void appendFrame(ByteBuf out, int flags, byte[] body) {
    if (isLong(body)) {
      out.writeByte(flags | FrameFlags.LONG).writeLong(body.length);
    } else {
      out.writeByte(flags).writeByte(body.length);
    }
    out.writeBytes(body);
  }

  private static boolean isLong(byte[] body) {
    return body.length > MAX_SHORT_FRAME_BYTES;
  }
}
