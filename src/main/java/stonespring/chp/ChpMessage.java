package stonespring.chp;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * The commands of the protocol (RFC 12, "The CHP Commands"). Callers must not modify the byte
 * arrays.
 */
public sealed interface ChpMessage {
  byte[] EMPTY_FRAME = new byte[0];

  /** The key of a heartbeat. */
  String HUGZ = "HUGZ";

  /** The first frame of a snapshot request. */
  String ICANHAZ = "ICANHAZ?";

  /** The key of the message that ends a snapshot. */
  String KTHXBAI = "KTHXBAI";

  /** Encodes the command as frames. */
  List<byte[]> frames();

  /** The request of a client for a snapshot of a subtree. */
  record IcanHaz(String subtree) implements ChpMessage {
    @Override
    public List<byte[]> frames() {
      return List.of(textFrame(ICANHAZ), textFrame(subtree));
    }
  }

  /** One key of a snapshot. */
  record KvSync(String key, long sequence, byte[] value) implements ChpMessage {
    @Override
    public List<byte[]> frames() {
      return List.of(textFrame(key), sequenceFrame(sequence), EMPTY_FRAME, EMPTY_FRAME, value);
    }
  }

  /** The end of a snapshot; {@code sequence} is the highest that the snapshot contains. */
  record Kthxbai(long sequence, String subtree) implements ChpMessage {
    @Override
    public List<byte[]> frames() {
      return List.of(
          textFrame(KTHXBAI),
          sequenceFrame(sequence),
          EMPTY_FRAME,
          EMPTY_FRAME,
          textFrame(subtree));
    }
  }

  /** An update of a key, sent to subscribers; an empty value means that the key is deleted. */
  record KvPub(String key, long sequence, byte[] uuid, byte[] properties, byte[] value)
      implements ChpMessage {
    @Override
    public List<byte[]> frames() {
      return List.of(textFrame(key), sequenceFrame(sequence), uuid, properties, value);
    }
  }

  /** A heartbeat of the publisher. */
  record Hugz() implements ChpMessage {
    @Override
    public List<byte[]> frames() {
      return List.of(textFrame(HUGZ), sequenceFrame(0), EMPTY_FRAME, EMPTY_FRAME, EMPTY_FRAME);
    }
  }

  /** The request of a client to set a key; an empty value deletes it. */
  record KvSet(String key, byte[] uuid, Map<String, String> properties, byte[] value)
      implements ChpMessage {
    @Override
    public List<byte[]> frames() {
      StringBuilder lines = new StringBuilder();
      properties.forEach(
          (name, property) -> lines.append(name).append('=').append(property).append('\n'));
      return List.of(textFrame(key), sequenceFrame(0), uuid, textFrame(lines.toString()), value);
    }
  }

  /** Encodes text as a UTF-8 frame. */
  static byte[] textFrame(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Encodes a sequence as a frame of eight bytes, big-endian. */
  static byte[] sequenceFrame(long value) {
    return ByteBuffer.allocate(Long.BYTES).putLong(value).array();
  }
}
