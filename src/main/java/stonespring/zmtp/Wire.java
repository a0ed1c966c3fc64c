package stonespring.zmtp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What goes out, as bytes (RFC 37, "Formal Grammar"). */
public final class Wire {
  private Wire() {}

  static ByteBuf greeting(boolean asServer) {
    ByteBuf out = Unpooled.buffer(ZmtpDecoder.GREETING);
    out.writeByte(0xFF).writeZero(8).writeByte(0x7F).writeByte(3).writeByte(1);
    out.writeBytes("NULL".getBytes(StandardCharsets.US_ASCII)).writeZero(16);
    return out.writeByte(asServer ? 1 : 0).writeZero(31);
  }

  /** One message of several frames, ready to be written to any number of peers. */
  public static ByteBuf message(ByteBufAllocator allocator, List<byte[]> frames) {
    int size = 0;
    for (byte[] frame : frames) {
      size += frame.length + (frame.length > 255 ? 9 : 2);
    }
    ByteBuf out = allocator.buffer(size);
    append(out, frames);
    return out;
  }

  /** Adds one message to bytes that go out together. */
  public static void append(ByteBuf out, List<byte[]> frames) {
    for (int i = 0; i < frames.size(); i++) {
      frame(out, i + 1 < frames.size() ? ZmtpDecoder.MORE : 0, frames.get(i));
    }
  }

  private static void frame(ByteBuf out, int flags, byte[] body) {
    if (body.length > 255) {
      out.writeByte(flags | ZmtpDecoder.LONG).writeLong(body.length);
    } else {
      out.writeByte(flags).writeByte(body.length);
    }
    out.writeBytes(body);
  }

  static ByteBuf command(String name, byte[] data) {
    byte[] body = new byte[1 + name.length() + data.length];
    body[0] = (byte) name.length();
    System.arraycopy(name.getBytes(StandardCharsets.US_ASCII), 0, body, 1, name.length());
    System.arraycopy(data, 0, body, 1 + name.length(), data.length);
    ByteBuf out = Unpooled.buffer(body.length + 9);
    frame(out, ZmtpDecoder.COMMAND, body);
    return out;
  }

  static ByteBuf ready(SocketType type) {
    ByteBuf data = Unpooled.buffer();
    property(data, "Socket-Type", type.name());
    if (type == SocketType.DEALER) {
      property(data, "Identity", "");
    }
    byte[] bytes = new byte[data.readableBytes()];
    data.readBytes(bytes);
    return command("READY", bytes);
  }

  private static void property(ByteBuf out, String name, String value) {
    out.writeByte(name.length()).writeBytes(name.getBytes(StandardCharsets.US_ASCII));
    out.writeInt(value.length()).writeBytes(value.getBytes(StandardCharsets.US_ASCII));
  }

  /** READY's properties by their names in lower case: names are compared without regard to case. */
  static Map<String, String> properties(byte[] data) {
    Map<String, String> properties = new TreeMap<>();
    ByteBuf in = Unpooled.wrappedBuffer(data);
    while (in.isReadable()) {
      int nameLength = in.readUnsignedByte();
      if (nameLength == 0 || in.readableBytes() < nameLength + 4) {
        throw new ZmtpException("READY: a property's name does not fit");
      }
      String name = in.readCharSequence(nameLength, StandardCharsets.US_ASCII).toString();
      int valueLength = in.readInt();
      if (valueLength < 0 || valueLength > in.readableBytes()) {
        throw new ZmtpException("READY: property " + name + "'s value does not fit");
      }
      properties.put(
          name.toLowerCase(java.util.Locale.ROOT),
          in.readCharSequence(valueLength, StandardCharsets.ISO_8859_1).toString());
    }
    return properties;
  }
}
