package stonespring.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Observes commits and presence on a proxy's link, with a decoder of its own: nothing here is
 * shared with the product's decoders. Runs on the link's event loop.
 */
final class WireTap implements FaultyLink.Tap {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** The link's listener for updates, towards the proxy. */
  private static final int UPDATE_LISTENER = 1;

  /** The link's listener for what the proxy publishes. */
  private static final int COLLECTOR_LISTENER = 2;

  private static final int UPDATE_FRAMES = 5;

  private final String proxy;
  private final Evidence evidence;
  private final Map<Long, WireTapFrameParser> parsers = new HashMap<>();
  private final Set<Long> present = new HashSet<>();

  WireTap(String proxy, Evidence evidence) {
    this.proxy = proxy;
    this.evidence = evidence;
  }

  @Override
  public void bytesPassed(int listener, long connection, boolean towardsProxy, byte[] bytes) {
    boolean updates = listener == UPDATE_LISTENER && towardsProxy;
    boolean published = listener == COLLECTOR_LISTENER && !towardsProxy;
    if (!updates && !published) {
      return;
    }
    WireTapFrameParser parser =
        parsers.computeIfAbsent(connection, key -> new WireTapFrameParser());
    for (List<byte[]> message : parser.parse(bytes)) {
      if (updates) {
        updatePassed(message);
      } else {
        publishedPassed(connection, message);
      }
    }
  }

  private void updatePassed(List<byte[]> message) {
    if (message.size() == UPDATE_FRAMES
        && key(message).equals("/proxy/" + proxy + "/commit")
        && message.get(UPDATE_FRAMES - 1).length > 0) {
      evidence.add(new Evidence.Commit(evidence.now(), proxy));
    }
  }

  private void publishedPassed(long connection, List<byte[]> message) {
    if (key(message).equals("/presence/" + proxy) && present.add(connection)) {
      evidence.add(new Evidence.Session(evidence.now(), proxy, true));
    }
  }

  private static String key(List<byte[]> message) {
    return new String(message.get(0), StandardCharsets.UTF_8);
  }

  @Override
  public void connectionClosed(int listener, long connection) {
    parsers.remove(connection);
    if (present.remove(connection)) {
      evidence.add(new Evidence.Session(evidence.now(), proxy, false));
    }
  }

  /** A proxy that can't be reached counts as disconnected until its presence passes again. */
  @Override
  public void linkFrozen() {
    if (!present.isEmpty()) {
      present.clear();
      evidence.add(new Evidence.Session(evidence.now(), proxy, false));
    }
  }

  /**
   * Adds what an instance's status says of its channel; an unreadable status counts as over the
   * limit.
   */
  static void status(Evidence evidence, byte[] json) {
    try {
      JsonNode node = JSON.readTree(json);
      evidence.add(
          new Evidence.ChannelBacklog(
              evidence.now(),
              node.path("backlog_high").asInt(),
              node.path("backlog_limit").asInt()));
    } catch (IOException e) {
      evidence.add(new Evidence.ChannelBacklog(evidence.now(), Integer.MAX_VALUE, 0));
    }
  }
}
