package stonespring.chp;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** The protocol's commands (RFC 12, "The CHP Commands"). Byte arrays must not be changed. */
public sealed interface ChpMessage {
  /** An empty frame. */
  byte[] EMPTY_FRAME = new byte[0];

  /** The key of a heartbeat. */
  String HUGZ = "HUGZ";

  /** The first frame of a snapshot's request. */
  String ICANHAZ = "ICANHAZ?";

  /** The key of a snapshot's end. */
  String KTHXBAI = "KTHXBAI";

  /** The frames of this command. */
  List<byte[]> frames();

  /** A client requests a snapshot of a subtree. */
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

  /** The end of a snapshot, with the highest sequence that it contains. */
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

  /** One update; an empty value deletes the key. */
  record KvPub(String key, long sequence, byte[] uuid, byte[] properties, byte[] value)
      implements ChpMessage {
    @Override
    public List<byte[]> frames() {
      return List.of(textFrame(key), sequenceFrame(sequence), uuid, properties, value);
    }
  }

  /** A heartbeat. */
  record Hugz() implements ChpMessage {
    @Override
    public List<byte[]> frames() {
      return List.of(textFrame(HUGZ), sequenceFrame(0), EMPTY_FRAME, EMPTY_FRAME, EMPTY_FRAME);
    }
  }

  /** A client sets a key; an empty value deletes it. */
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

  /** A text as a frame. */
  static byte[] textFrame(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** A sequence as a frame. */
  static byte[] sequenceFrame(long value) {
    return ByteBuffer.allocate(Long.BYTES).putLong(value).array();
  }
}
