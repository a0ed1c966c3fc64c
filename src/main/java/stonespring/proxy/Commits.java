package stonespring.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import stonespring.proxy.routing.Follower;

/** Reads the key that commits a message. */
public final class Commits {
  private static final ObjectMapper JSON = new ObjectMapper();

  private Commits() {}

  /** What can't be read is out of any count: the snapshot is asked anew. */
  public static Follower.Commit read(byte[] value) {
    try {
      JsonNode node = JSON.readTree(value);
      return new Follower.Commit(
          node.path("origin").asText(),
          node.path("at").asInt(-1),
          node.path("keys").asInt(-1),
          node.path("mark").asInt(-1));
    } catch (IOException e) {
      return new Follower.Commit("", -1, -1, -1);
    }
  }
}
