package stonespring.zmtp;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** The ERROR command: rejects a handshake. Its data hold the reason as a short ASCII string. */
final class ErrorCommand {
  /** The command name on the wire. */
  static final String NAME = "ERROR";

  private ErrorCommand() {}

  /** Encodes the command with an ASCII reason of at most 255 characters. */
  static ByteBuf encode(String reason) {
    byte[] text = reason.getBytes(StandardCharsets.US_ASCII);
    byte[] data = new byte[text.length + 1];
    data[0] = (byte) text.length;
    System.arraycopy(text, 0, data, 1, text.length);
    return ZmtpEncoder.encodeCommand(NAME, data);
  }

  /** Returns the reason, truncated if the data are shorter than the length that they state. */
  static String decodeReason(byte[] data) {
    if (data.length == 0) {
      return "";
    }
    int length = Math.min(Byte.toUnsignedInt(data[0]), data.length - 1);
    return new String(data, 1, length, StandardCharsets.US_ASCII);
  }
}
