package stonespring.proxyapi;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/**
 * A JSON object that a proxy sent, with checked access to its fields. The methods that parse or
 * read throw {@link InvalidMessageException} if a value is missing, has the wrong type or is out of
 * range.
 */
final class JsonMessage {
  /** Maximum length of the name of an endpoint or a proxy, in characters. */
  private static final int MAX_NAME_CHARS = 200;

  /** Maximum number of elements of a list. */
  private static final int MAX_LIST_SIZE = 4096;

  private static final int MAX_NESTING_DEPTH = 8;
  private static final int MAX_STRING_CHARS = 4096;
  private static final ObjectMapper JSON =
      new ObjectMapper(
          JsonFactory.builder()
              .streamReadConstraints(
                  StreamReadConstraints.builder()
                      .maxNestingDepth(MAX_NESTING_DEPTH)
                      .maxStringLength(MAX_STRING_CHARS)
                      .build())
              .build());

  private final String kind;
  private final JsonNode root;

  private JsonMessage(String kind, JsonNode root) {
    this.kind = kind;
    this.root = root;
  }

  /** Parses a message. The kind appears only in exception messages. */
  static JsonMessage parse(String kind, byte[] bytes) {
    try {
      JsonNode root = JSON.readTree(bytes);
      if (root == null || !root.isObject()) {
        throw new InvalidMessageException(kind, "expected a JSON object");
      }
      return new JsonMessage(kind, root);
    } catch (JsonProcessingException e) {
      throw new InvalidMessageException(
          kind, "malformed JSON: " + e.getOriginalMessage().split("\n")[0]);
    } catch (IOException e) {
      throw new InvalidMessageException(kind, "cannot be read: " + e.getMessage());
    }
  }

  InvalidMessageException invalid(String field, String problem) {
    return new InvalidMessageException(kind, field, problem);
  }

  boolean has(String field) {
    return root.has(field);
  }

  private JsonNode required(String field) {
    JsonNode value = root.get(field);
    if (value == null || value.isNull()) {
      throw invalid(field, "is missing");
    }
    return value;
  }

  String name(String field) {
    return name(field, required(field));
  }

  double number(String field, double max) {
    return number(field, required(field), max);
  }

  long wholeNumber(String field, double max) {
    return wholeNumber(field, required(field), max);
  }

  boolean flag(String field) {
    JsonNode value = required(field);
    if (!value.isBoolean()) {
      throw invalid(field, "is neither true nor false");
    }
    return value.asBoolean();
  }

  /** Returns the elements of a list field; no elements if the field is missing. */
  Iterable<JsonNode> list(String field) {
    JsonNode value = root.path(field);
    if (!value.isMissingNode() && (!value.isArray() || value.size() > MAX_LIST_SIZE)) {
      throw invalid(field, "is not a list of at most " + MAX_LIST_SIZE + " elements");
    }
    return value;
  }

  /**
   * Returns a value as the name of an endpoint or a proxy.
   *
   * @param field the field that contains the value, for error messages
   */
  String name(String field, JsonNode value) {
    String text = value.isTextual() ? value.asText() : "";
    if (text.isEmpty()
        || text.length() > MAX_NAME_CHARS
        || text.chars().anyMatch(c -> c <= ' ' || c == '/')) {
      throw invalid(
          field, "is not a name of 1 to " + MAX_NAME_CHARS + " characters without slash or space");
    }
    return text;
  }

  /**
   * Returns a value as a number from 0 to {@code max}.
   *
   * @param field the field that contains the value, for error messages
   */
  double number(String field, JsonNode value, double max) {
    if (!value.isNumber() || !(value.asDouble() >= 0) || value.asDouble() > max) {
      throw invalid(field, "is not a number from 0 to " + max);
    }
    return value.asDouble();
  }

  /**
   * Returns a value as a whole number from 0 to {@code max}.
   *
   * @param field the field that contains the value, for error messages
   */
  long wholeNumber(String field, JsonNode value, double max) {
    if (!value.isIntegralNumber()) {
      throw invalid(field, "is not a whole number");
    }
    return (long) number(field, value, max);
  }
}
