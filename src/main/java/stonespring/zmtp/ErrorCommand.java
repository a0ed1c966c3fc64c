package stonespring.zmtp;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** The command by which a peer ends a handshake; its data are a reason. */
final class ErrorCommand {
  /** The command's name. */
  static final String NAME = "ERROR";

  private ErrorCommand() {}

  /** Encodes a reason of up to 255 characters. */
  static ByteBuf encode(String reason) {
    byte[] text = reason.getBytes(StandardCharsets.US_ASCII);
    byte[] data = new byte[text.length + 1];
    data[0] = (byte) text.length;
    System.arraycopy(text, 0, data, 1, text.length);
    return ZmtpEncoder.encodeCommand(NAME, data);
  }

  /** The reason, as far as the data hold it. */
  static String decodeReason(byte[] data) {
    if (data.length == 0) {
      return "";
    }
    int length = Math.min(Byte.toUnsignedInt(data[0]), data.length - 1);
    return new String(data, 1, length, StandardCharsets.US_ASCII);
  }
}
