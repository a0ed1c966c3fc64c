package stonespring.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import stonespring.proxy.routing.TableSubscriber;

/** Decodes the JSON value of the {@code commit} key, which completes an update. */
public final class CommitReader {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int INVALID = -1;

  private CommitReader() {}

  /**
   * Decodes a commit. Malformed JSON gives a commit with the invalid sequence number -1, which
   * fails the sequence check of {@link TableSubscriber}, so that the snapshot is requested again.
   */
  public static TableSubscriber.Commit read(byte[] value) {
    try {
      JsonNode node = JSON.readTree(value);
      return new TableSubscriber.Commit(
          node.path("origin").asText(),
          node.path("at").asInt(INVALID),
          node.path("keys").asInt(INVALID),
          node.path("mark").asInt(TableSubscriber.Commit.NO_ACK));
    } catch (IOException e) {
      return new TableSubscriber.Commit("", INVALID, INVALID, TableSubscriber.Commit.NO_ACK);
    }
  }
}
