package stonespring.chp;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Decodes frames into commands; which commands are valid depends on the receiving port. */
final class ChpDecoder {
  private static final String ICANHAZ_NAME = "ICANHAZ";
  private static final String KVSYNC = "KVSYNC";
  private static final String KVPUB = "KVPUB";
  private static final String KVSET = "KVSET";

  private static final int REQUEST_FRAMES = 2;

  /** All commands but ICANHAZ have the frames key, sequence, UUID, properties and value. */
  private static final int KEY_VALUE_FRAMES = 5;

  private static final int UUID_BYTES = 16;
  private static final int MAX_KEY_CHARS = 255;

  private ChpDecoder() {}

  /** Decodes a message that a client sent to the snapshot port. */
  static ChpMessage.IcanHaz decodeRequest(List<byte[]> frames) {
    checkFrameCount(ICANHAZ_NAME, frames, REQUEST_FRAMES);
    if (!decodeText(ICANHAZ_NAME, "command", frames.get(0)).equals(ChpMessage.ICANHAZ)) {
      throw new InvalidChpMessageException("snapshot port", "expected the command 'ICANHAZ?'");
    }
    return new ChpMessage.IcanHaz(checkSubtree(decodeText(ICANHAZ_NAME, "subtree", frames.get(1))));
  }

  /** Decodes a message that a client sent to the collector port. */
  static ChpMessage.KvSet decodeSet(List<byte[]> frames) {
    checkFrameCount(KVSET, frames, KEY_VALUE_FRAMES);
    decodeSequence(KVSET, frames.get(1));
    return new ChpMessage.KvSet(
        decodeKey(KVSET, frames.get(0)),
        checkUuid(KVSET, frames.get(2)),
        decodeProperties(frames.get(3)),
        frames.get(4));
  }

  /** Decodes a message that a publisher sent: an update or a heartbeat. */
  static ChpMessage decodeUpdate(List<byte[]> frames) {
    checkFrameCount(KVPUB, frames, KEY_VALUE_FRAMES);
    long sequence = decodeSequence(KVPUB, frames.get(1));
    if (isHeartbeatKey(frames.get(0))) {
      return new ChpMessage.Hugz();
    }
    decodeProperties(frames.get(3));
    return new ChpMessage.KvPub(
        decodeKey(KVPUB, frames.get(0)),
        sequence,
        checkUuid(KVPUB, frames.get(2)),
        frames.get(3),
        frames.get(4));
  }

  /** Decodes a message that a server sent from the snapshot port: one key or the end marker. */
  static ChpMessage decodeSnapshot(List<byte[]> frames) {
    checkFrameCount(KVSYNC, frames, KEY_VALUE_FRAMES);
    long sequence = decodeSequence(KVSYNC, frames.get(1));
    if (decodeText(KVSYNC, "key", frames.get(0)).equals(ChpMessage.KTHXBAI)) {
      String subtree = checkSubtree(decodeText(ChpMessage.KTHXBAI, "subtree", frames.get(4)));
      return new ChpMessage.Kthxbai(sequence, subtree);
    }
    return new ChpMessage.KvSync(decodeKey(KVSYNC, frames.get(0)), sequence, frames.get(4));
  }

  private static boolean isHeartbeatKey(byte[] frame) {
    return new String(frame, StandardCharsets.ISO_8859_1).equals(ChpMessage.HUGZ);
  }

  private static void checkFrameCount(String command, List<byte[]> frames, int expected) {
    if (frames.size() != expected) {
      throw new InvalidChpMessageException(
          command, "expected " + expected + " frames, got " + frames.size());
    }
  }

  private static String decodeText(String command, String field, byte[] frame) {
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(frame)).toString();
    } catch (CharacterCodingException e) {
      throw new InvalidChpMessageException(command, field + " is not valid UTF-8");
    }
  }

  private static String decodeKey(String command, byte[] frame) {
    String key = decodeText(command, "key", frame);
    if (key.length() < 2
        || key.length() > MAX_KEY_CHARS
        || key.charAt(0) != '/'
        || key.endsWith("/")
        || key.contains("//")
        || key.chars().anyMatch(character -> character <= ' ')) {
      throw new InvalidChpMessageException(
          command,
          "key is not a slash-separated path of 2 to 255 characters: expected a leading slash, no"
              + " trailing or double slash, no spaces or control characters");
    }
    return key;
  }

  private static String checkSubtree(String text) {
    boolean valid = text.length() <= MAX_KEY_CHARS && text.startsWith("/") && text.endsWith("/");
    if (!text.isEmpty() && !valid) {
      throw new InvalidChpMessageException(
          "subtree: expected an empty text, or one that starts and ends with a slash and has at most"
              + " 255 characters");
    }
    return text;
  }

  private static byte[] checkUuid(String command, byte[] frame) {
    if (frame.length != 0 && frame.length != UUID_BYTES) {
      throw new InvalidChpMessageException(
          command, "uuid: expected 0 or 16 bytes, got " + frame.length);
    }
    return frame;
  }

  private static long decodeSequence(String command, byte[] frame) {
    if (frame.length != Long.BYTES) {
      throw new InvalidChpMessageException(
          command, "sequence: expected 8 bytes, got " + frame.length);
    }
    return ByteBuffer.wrap(frame).getLong();
  }

  private static Map<String, String> decodeProperties(byte[] frame) {
    Map<String, String> properties = new TreeMap<>();
    String lines = decodeText(KVSET, "properties", frame);
    if (lines.isEmpty()) {
      return properties;
    }
    if (!lines.endsWith("\n")) {
      throw new InvalidChpMessageException(
          "properties", "the last line does not end with a line feed");
    }
    for (String line : lines.split("\n")) {
      int separator = line.indexOf('=');
      if (separator < 1) {
        throw new InvalidChpMessageException("properties", "a line is not of the form name=value");
      }
      properties.put(line.substring(0, separator), line.substring(separator + 1));
    }
    return properties;
  }
}
