package stonespring.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import stonespring.proxy.routing.TableSubscriber;

/** Reads the key that commits a message. */
public final class CommitLog {
  private static final ObjectMapper JSON = new ObjectMapper();

  private CommitLog() {}

  /** What can't be read is out of any count: the snapshot is asked anew. */
  public static TableSubscriber.Commit read(byte[] value) {
    try {
      JsonNode node = JSON.readTree(value);
      return new TableSubscriber.Commit(
          node.path("origin").asText(),
          node.path("at").asInt(-1),
          node.path("keys").asInt(-1),
          node.path("mark").asInt(-1));
    } catch (IOException e) {
      return new TableSubscriber.Commit("", -1, -1, -1);
    }
  }
}
