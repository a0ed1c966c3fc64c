package stonespring.zmtp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * The READY command: completes a handshake. Its data are a list of named properties (RFC 37, "The
 * NULL Mechanism").
 */
final class ReadyCommand {
  /** The command name on the wire. */
  static final String NAME = "READY";

  private static final String SOCKET_TYPE_PROPERTY = "Socket-Type";
  private static final String IDENTITY_PROPERTY = "Identity";
  private static final int VALUE_LENGTH_BYTES = 4;

  private ReadyCommand() {}

  static ByteBuf encode(SocketType type) {
    ByteBuf data = Unpooled.buffer();
    appendProperty(data, SOCKET_TYPE_PROPERTY, type.name());
    if (type == SocketType.DEALER) {
      appendProperty(data, IDENTITY_PROPERTY, "");
    }
    return ZmtpEncoder.encodeCommand(NAME, ByteBufUtil.getBytes(data));
  }

  private static void appendProperty(ByteBuf out, String name, String value) {
    out.writeByte(name.length()).writeBytes(name.getBytes(StandardCharsets.US_ASCII));
    out.writeInt(value.length()).writeBytes(value.getBytes(StandardCharsets.US_ASCII));
  }

  /** Returns the peer's socket type as sent; empty if the property is missing. */
  static Optional<String> decodeSocketType(byte[] data) {
    Optional<String> socketType = Optional.empty();
    ByteBuf in = Unpooled.wrappedBuffer(data);
    while (in.isReadable()) {
      String name = readName(in);
      String value = readValue(in, name);
      if (name.equalsIgnoreCase(SOCKET_TYPE_PROPERTY)) {
        socketType = Optional.of(value);
      }
    }
    return socketType;
  }

  private static String readName(ByteBuf in) {
    int length = in.readUnsignedByte();
    if (length == 0 || in.readableBytes() < length + VALUE_LENGTH_BYTES) {
      throw new ZmtpProtocolException(
          NAME, "the name of a property is empty or exceeds the remaining data");
    }
    return in.readCharSequence(length, StandardCharsets.US_ASCII).toString();
  }

  private static String readValue(ByteBuf in, String name) {
    int length = in.readInt();
    if (length < 0 || length > in.readableBytes()) {
      throw new ZmtpProtocolException(
          NAME, "the value of property " + name + " exceeds the remaining data");
    }
    return in.readCharSequence(length, StandardCharsets.ISO_8859_1).toString();
  }
}
