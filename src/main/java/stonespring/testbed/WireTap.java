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
 * Records the commit keys and presence keys that pass through the links of one proxy. It has its
 * own decoder and shares no code with the product's decoders. Runs on the link's event loop.
 */
final class WireTap implements FaultyLink.Tap {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Index of the link's listener that carries updates to the proxy. */
  private static final int UPDATE_LISTENER = 1;

  /** Index of the link's listener that carries the keys that the proxy sets. */
  private static final int COLLECTOR_LISTENER = 2;

  private static final int UPDATE_FRAMES = 5;

  private final String proxy;
  private final Evidence evidence;
  private final Map<Long, WireTapFrameParser> parsers = new HashMap<>();
  private final Set<Long> presentConnections = new HashSet<>();

  WireTap(String proxy, Evidence evidence) {
    this.proxy = proxy;
    this.evidence = evidence;
  }

  @Override
  public void bytesPassed(int listener, long connection, boolean towardsProxy, byte[] bytes) {
    boolean isUpdate = listener == UPDATE_LISTENER && towardsProxy;
    boolean isCollectorMessage = listener == COLLECTOR_LISTENER && !towardsProxy;
    if (!isUpdate && !isCollectorMessage) {
      return;
    }
    WireTapFrameParser parser =
        parsers.computeIfAbsent(connection, key -> new WireTapFrameParser());
    for (List<byte[]> message : parser.parse(bytes)) {
      if (isUpdate) {
        recordUpdate(message);
      } else {
        recordCollectorMessage(connection, message);
      }
    }
  }

  private void recordUpdate(List<byte[]> message) {
    if (message.size() == UPDATE_FRAMES
        && key(message).equals("/proxy/" + proxy + "/commit")
        && message.get(UPDATE_FRAMES - 1).length > 0) {
      evidence.add(new Evidence.Commit(evidence.now(), proxy));
    }
  }

  private void recordCollectorMessage(long connection, List<byte[]> message) {
    if (key(message).equals("/presence/" + proxy) && presentConnections.add(connection)) {
      evidence.add(new Evidence.Session(evidence.now(), proxy, true));
    }
  }

  private static String key(List<byte[]> message) {
    return new String(message.get(0), StandardCharsets.UTF_8);
  }

  @Override
  public void connectionClosed(int listener, long connection) {
    parsers.remove(connection);
    if (presentConnections.remove(connection)) {
      evidence.add(new Evidence.Session(evidence.now(), proxy, false));
    }
  }

  /**
   * Records the end of the session: the instance can't reach the proxy until the link forwards its
   * presence key again.
   */
  @Override
  public void linkFrozen() {
    if (!presentConnections.isEmpty()) {
      presentConnections.clear();
      evidence.add(new Evidence.Session(evidence.now(), proxy, false));
    }
  }

  /**
   * Records the channel backlog from an instance's status. An unreadable status is recorded as a
   * backlog over the limit.
   */
  static void recordStatus(Evidence evidence, byte[] json) {
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
