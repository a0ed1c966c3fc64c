package stonespring.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the channel's bytes as they pass a proxy's link, with a reader of its own: nothing here is
 * shared with the program's decoders. Listener 1 carries updates down, listener 2 the proxy's words
 * up.
 */
final class WireTap implements FaultyLink.Tap {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** One direction's bytes, cut into messages. */
  private static final class FrameParser {
    private final ByteArrayOutputStream rest = new ByteArrayOutputStream();
    private final List<byte[]> frames = new ArrayList<>();
    private int greetingLeft = 64;

    List<List<byte[]>> messages(byte[] more) {
      List<List<byte[]>> whole = new ArrayList<>();
      rest.writeBytes(more);
      byte[] all = rest.toByteArray();
      int at = Math.min(greetingLeft, all.length);
      greetingLeft -= at;
      while (at + 2 <= all.length) {
        boolean large = (all[at] & 2) != 0;
        if (large && at + 9 > all.length) {
          break;
        }
        long size = large ? java.nio.ByteBuffer.wrap(all, at + 1, 8).getLong() : all[at + 1] & 0xFF;
        int body = at + (large ? 9 : 2);
        if (body + size > all.length) {
          break;
        }
        if ((all[at] & 4) == 0) {
          frames.add(java.util.Arrays.copyOfRange(all, body, (int) (body + size)));
          if ((all[at] & 1) == 0) {
            whole.add(new ArrayList<>(frames));
            frames.clear();
          }
        }
        at = (int) (body + size);
      }
      rest.reset();
      rest.write(all, at, all.length - at);
      return whole;
    }
  }

  private final String proxy;
  private final Evidence evidence;
  private final Map<Long, FrameParser> parsers = new HashMap<>();
  private final Map<Long, Boolean> present = new HashMap<>();

  WireTap(String proxy, Evidence evidence) {
    this.proxy = proxy;
    this.evidence = evidence;
  }

  @Override
  public void passed(int listener, long pair, boolean down, byte[] bytes) {
    if (listener == 0 || down != (listener == 1)) {
      return;
    }
    for (List<byte[]> message :
        parsers.computeIfAbsent(pair, p -> new FrameParser()).messages(bytes)) {
      String key = new String(message.get(0), StandardCharsets.UTF_8);
      if (message.size() == 5
          && listener == 1
          && key.equals("/proxy/" + proxy + "/commit")
          && message.get(4).length > 0) {
        evidence.add(new Evidence.Commit(evidence.now(), proxy));
      } else if (listener == 2
          && key.equals("/presence/" + proxy)
          && present.put(pair, true) == null) {
        evidence.add(new Evidence.Session(evidence.now(), proxy, true));
      }
    }
  }

  @Override
  public void ended(int listener, long pair) {
    parsers.remove(pair);
    if (present.remove(pair) != null) {
      evidence.add(new Evidence.Session(evidence.now(), proxy, false));
    }
  }

  /** Who can't be reached is not joined; it is again with the next word of presence that passes. */
  @Override
  public void frozen() {
    if (!present.isEmpty()) {
      present.clear();
      evidence.add(new Evidence.Session(evidence.now(), proxy, false));
    }
  }

  /** What an instance's status says of its channel, as evidence. */
  static void status(Evidence evidence, byte[] json) {
    try {
      JsonNode node = JSON.readTree(json);
      evidence.add(
          new Evidence.Channel(
              evidence.now(),
              node.path("backlog_high").asInt(),
              node.path("backlog_limit").asInt()));
    } catch (IOException e) {
      evidence.add(
          new Evidence.Channel(
              evidence.now(), Integer.MAX_VALUE, 0)); // what can't be read is no proof
    }
  }
}
