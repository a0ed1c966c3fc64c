package stonespring.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import stonespring.model.DeciMillis;
import stonespring.simulator.WireNames.Batch;

/**
 * Reads batches of messages; each batch is one line of JSON. A batch is parsed as a stream, so that
 * memory holds the JSON tree of only one message at a time.
 */
final class BatchReader {
  /** Marks a number that has not been read from the line yet; valid numbers start at 0. */
  private static final long UNSET = -1;

  /** Receives the messages of a batch in the order of the line. */
  interface MessageHandler {
    /**
     * Handles a message.
     *
     * @param now the batch's time, {@link DeciMillis}
     * @param instance the number of the instance that the message addresses
     */
    void handle(long now, int instance, SimulatorMessage message);
  }

  private final ObjectMapper mapper;
  private final MessageHandler handler;
  private long now = UNSET;
  private long sequence = UNSET;

  BatchReader(ObjectMapper mapper, MessageHandler handler) {
    this.mapper = mapper;
    this.handler = handler;
  }

  /** Returns the time of the batch read last, {@link DeciMillis}; negative before the first. */
  long now() {
    return now;
  }

  /** Returns the sequence number of the batch read last; negative before the first. */
  long sequence() {
    return sequence;
  }

  /**
   * Reads a batch and passes its messages to the handler. If the line has an error, the messages
   * before the error have already been passed to the handler.
   *
   * @throws com.fasterxml.jackson.core.JsonProcessingException if the line is not valid JSON
   * @throws SimulatorProtocolException if the line violates the protocol
   */
  void read(String line) throws IOException {
    now = UNSET;
    sequence = UNSET;
    try (JsonParser json = mapper.createParser(line)) {
      checkToken(json.nextToken(), JsonToken.START_OBJECT, "batch");
      boolean hasParts = readFields(json);
      if (now < 0 || sequence < 0 || !hasParts) {
        throw new SimulatorProtocolException(
            "batch: expected numbers from 0 in the fields '"
                + Batch.TIME_SECONDS
                + "' and '"
                + Batch.SEQUENCE
                + "' and the field '"
                + Batch.PARTS
                + "'; at least one of them is missing or negative");
      }
      checkToken(json.currentToken(), JsonToken.END_OBJECT, "batch");
      if (json.nextToken() != null) {
        throw new SimulatorProtocolException(
            "batch: expected the end of the line after the batch, found another JSON value");
      }
    }
  }

  /** Reads the fields of the batch and returns whether its parts are among them. */
  private boolean readFields(JsonParser json) throws IOException {
    boolean hasParts = false;
    while (json.nextToken() == JsonToken.FIELD_NAME) {
      String field = json.currentName();
      json.nextToken();
      switch (field) {
        case Batch.TIME_SECONDS -> now = DeciMillis.ofSeconds(readNumber(json, field).asDouble());
        case Batch.SEQUENCE -> sequence = readNumber(json, field).asLong();
        case Batch.PARTS -> {
          hasParts = true;
          readParts(json);
        }
        default -> json.skipChildren();
      }
    }
    return hasParts;
  }

  private void readParts(JsonParser json) throws IOException {
    if (now < 0) {
      throw new SimulatorProtocolException(
          "batch: expected field '"
              + Batch.TIME_SECONDS
              + "' before '"
              + Batch.PARTS
              + "'; it is missing, negative or comes later");
    }
    checkToken(json.currentToken(), JsonToken.START_ARRAY, "field '" + Batch.PARTS + "'");
    while (json.nextToken() != JsonToken.END_ARRAY) {
      checkToken(json.currentToken(), JsonToken.START_OBJECT, "element of '" + Batch.PARTS + "'");
      readPart(json);
    }
  }

  private void readPart(JsonParser json) throws IOException {
    int instance = (int) UNSET;
    while (json.nextToken() == JsonToken.FIELD_NAME) {
      String field = json.currentName();
      json.nextToken();
      switch (field) {
        case Batch.INSTANCE -> instance = readNumber(json, field).asInt();
        case Batch.MESSAGES -> readMessages(json, instance);
        default -> json.skipChildren();
      }
    }
  }

  private void readMessages(JsonParser json, int instance) throws IOException {
    if (instance < 0) {
      throw new SimulatorProtocolException(
          "element of '"
              + Batch.PARTS
              + "': expected field '"
              + Batch.INSTANCE
              + "' before '"
              + Batch.MESSAGES
              + "'; it is missing, negative or comes later");
    }
    checkToken(json.currentToken(), JsonToken.START_ARRAY, "field '" + Batch.MESSAGES + "'");
    while (json.nextToken() != JsonToken.END_ARRAY) {
      JsonNode array = json.readValueAsTree();
      handler.handle(now, instance, SimulatorMessage.of(array));
    }
  }

  private static JsonNode readNumber(JsonParser json, String field) throws IOException {
    JsonNode value = json.readValueAsTree();
    if (!value.isNumber()) {
      throw new SimulatorProtocolException(
          "field '" + field + "': expected a number, found " + value);
    }
    return value;
  }

  private static void checkToken(JsonToken found, JsonToken expected, String element) {
    if (found != expected) {
      throw new SimulatorProtocolException(element + ": expected " + expected + ", found " + found);
    }
  }
}
