package stonespring.chp;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The commands of the Clustered Hashmap Protocol (RFC 12 of the ZeroMQ RFC project, "The CHP
 * Commands").
 */
public sealed interface ChpMessage {
  byte[] NONE = new byte[0];
  byte[] HUGZ_TOPIC = bytes("HUGZ");
  int UUID_BYTES = 16;

  List<byte[]> frames();

  /** A client asks for a snapshot of a subtree. */
  record IcanHaz(String subtree) implements ChpMessage {
    @Override
    public List<byte[]> frames() {
      return List.of(bytes("ICANHAZ?"), bytes(subtree));
    }
  }

  /** One key of a snapshot. */
  record KvSync(String key, long sequence, byte[] value) implements ChpMessage {
    @Override
    public List<byte[]> frames() {
      return List.of(bytes(key), number(sequence), NONE, NONE, value);
    }
  }

  /** The end of a snapshot, with the highest sequence that it holds. */
  record Kthxbai(long sequence, String subtree) implements ChpMessage {
    @Override
    public List<byte[]> frames() {
      return List.of(bytes("KTHXBAI"), number(sequence), NONE, NONE, bytes(subtree));
    }
  }

  /** One update; an empty value deletes the key. */
  record KvPub(String key, long sequence, byte[] uuid, byte[] properties, byte[] value)
      implements ChpMessage {
    @Override
    public List<byte[]> frames() {
      return List.of(bytes(key), number(sequence), uuid, properties, value);
    }
  }

  record Hugz() implements ChpMessage {
    @Override
    public List<byte[]> frames() {
      return List.of(HUGZ_TOPIC, number(0), NONE, NONE, NONE);
    }
  }

  /** A client sets a key; an empty value deletes it. */
  record KvSet(String key, byte[] uuid, Map<String, String> properties, byte[] value)
      implements ChpMessage {
    @Override
    public List<byte[]> frames() {
      StringBuilder lines = new StringBuilder();
      properties.forEach((name, word) -> lines.append(name).append('=').append(word).append('\n'));
      return List.of(bytes(key), number(0), uuid, bytes(lines.toString()), value);
    }
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  static byte[] number(long value) {
    return ByteBuffer.allocate(8).putLong(value).array();
  }

  /** What a client sent to the snapshot port. */
  static IcanHaz readAsk(List<byte[]> frames) {
    count("ICANHAZ", frames, 2);
    if (!text("ICANHAZ", "command", frames.get(0)).equals("ICANHAZ?")) {
      throw new ChpException("snapshot port: a command other than ICANHAZ?");
    }
    return new IcanHaz(subtree(text("ICANHAZ", "subtree", frames.get(1))));
  }

  /** What a client sent to the collector. */
  static KvSet readSet(List<byte[]> frames) {
    count("KVSET", frames, 5);
    sequence("KVSET", frames.get(1));
    return new KvSet(
        key("KVSET", frames.get(0)),
        uuid("KVSET", frames.get(2)),
        properties(frames.get(3)),
        frames.get(4));
  }

  /** What a publisher sent: an update, or HUGZ. */
  static ChpMessage readUpdate(List<byte[]> frames) {
    count("KVPUB", frames, 5);
    long sequence = sequence("KVPUB", frames.get(1));
    if (java.util.Arrays.equals(frames.get(0), HUGZ_TOPIC)) {
      return new Hugz();
    }
    properties(frames.get(3));
    return new KvPub(
        key("KVPUB", frames.get(0)),
        sequence,
        uuid("KVPUB", frames.get(2)),
        frames.get(3),
        frames.get(4));
  }

  /** What a server sent from the snapshot port: a key, or the end. */
  static ChpMessage readSync(List<byte[]> frames) {
    count("KVSYNC", frames, 5);
    long sequence = sequence("KVSYNC", frames.get(1));
    String first = text("KVSYNC", "key", frames.get(0));
    if (first.equals("KTHXBAI")) {
      return new Kthxbai(sequence, subtree(text("KTHXBAI", "subtree", frames.get(4))));
    }
    return new KvSync(key("KVSYNC", frames.get(0)), sequence, frames.get(4));
  }

  private static void count(String command, List<byte[]> frames, int wanted) {
    if (frames.size() != wanted) {
      throw new ChpException(command + ": " + frames.size() + " frames, not " + wanted);
    }
  }

  private static String text(String command, String field, byte[] frame) {
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(frame)).toString();
    } catch (CharacterCodingException e) {
      throw new ChpException(command + ": " + field + " is not UTF-8");
    }
  }

  private static String key(String command, byte[] frame) {
    String key = text(command, "key", frame);
    if (key.length() < 2
        || key.length() > 255
        || key.charAt(0) != '/'
        || key.endsWith("/")
        || key.contains("//")
        || key.chars().anyMatch(c -> c <= ' ')) {
      throw new ChpException(command + ": key is not a slash and segments of up to 255 characters");
    }
    return key;
  }

  private static String subtree(String text) {
    if (!text.isEmpty() && (text.length() > 255 || text.charAt(0) != '/' || !text.endsWith("/"))) {
      throw new ChpException("subtree is neither empty nor segments between slashes");
    }
    return text;
  }

  private static byte[] uuid(String command, byte[] frame) {
    if (frame.length != 0 && frame.length != UUID_BYTES) {
      throw new ChpException(command + ": uuid has " + frame.length + " bytes, not 16 or none");
    }
    return frame;
  }

  private static long sequence(String command, byte[] frame) {
    if (frame.length != 8) {
      throw new ChpException(command + ": sequence has " + frame.length + " bytes, not 8");
    }
    return ByteBuffer.wrap(frame).getLong();
  }

  private static Map<String, String> properties(byte[] frame) {
    Map<String, String> properties = new TreeMap<>();
    String lines = text("KVSET", "properties", frame);
    if (!lines.isEmpty() && !lines.endsWith("\n")) {
      throw new ChpException("properties: the last line has no end");
    }
    for (String line : lines.isEmpty() ? new String[0] : lines.split("\n")) {
      int at = line.indexOf('=');
      if (at < 1) {
        throw new ChpException("properties: a line is not name=value");
      }
      properties.put(line.substring(0, at), line.substring(at + 1));
    }
    return properties;
  }
}
