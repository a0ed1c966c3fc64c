package stonespring.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import stonespring.model.DeciMillis;

/**
 * Reads the fields of a JSON object by name. A field whose value is null counts as missing. A
 * missing or invalid field is reported by an {@link InvalidSettingsException} that names it.
 */
final class JsonFields {
  /** The largest accepted number. A larger one is an error in every unit that the settings use. */
  private static final double MAX_NUMBER = 1e9;

  private final JsonNode object;

  JsonFields(JsonNode object) {
    this.object = object;
  }

  private JsonNode required(String field) {
    JsonNode value = object.get(field);
    if (value == null || value.isNull()) {
      throw new InvalidSettingsException(field, "is missing");
    }
    return value;
  }

  /** Reads a required object. A value of another type is treated as an object without fields. */
  JsonFields object(String field) {
    return new JsonFields(required(field));
  }

  /** Reads an optional object. A missing one is treated as an object without fields. */
  JsonFields optionalObject(String field) {
    return new JsonFields(object.path(field));
  }

  String text(String field) {
    return asText(field, required(field));
  }

  List<String> texts(String field) {
    List<String> texts = new ArrayList<>();
    for (JsonNode item : list(field)) {
      texts.add(asText(field, item));
    }
    return texts;
  }

  List<JsonFields> objects(String field) {
    List<JsonFields> objects = new ArrayList<>();
    for (JsonNode item : list(field)) {
      objects.add(new JsonFields(item));
    }
    return objects;
  }

  /** Reads a required number from 0 to {@link #MAX_NUMBER}. */
  double number(String field) {
    JsonNode value = required(field);
    if (!value.isNumber()) {
      throw new InvalidSettingsException(field, "must be a number, got " + value);
    }
    double number = value.asDouble();
    if (!(number >= 0 && number <= MAX_NUMBER)) {
      throw new InvalidSettingsException(
          field, "must be a number from 0 to " + MAX_NUMBER + ", got " + value);
    }
    return number;
  }

  double number(String field, double defaultValue) {
    return object.hasNonNull(field) ? number(field) : defaultValue;
  }

  /** Reads a required duration in seconds and returns it in {@link DeciMillis}, rounded down. */
  long durationDeciMillis(String field) {
    return DeciMillis.ofSeconds(number(field));
  }

  /**
   * Reads an optional duration in seconds and returns it in {@link DeciMillis}, rounded down.
   *
   * @param defaultSeconds the duration used if the field is missing
   */
  long durationDeciMillis(String field, double defaultSeconds) {
    return DeciMillis.ofSeconds(number(field, defaultSeconds));
  }

  /** Reads an optional boolean; a missing one is false. */
  boolean isTrue(String field) {
    return object.path(field).asBoolean(false);
  }

  private JsonNode list(String field) {
    JsonNode value = required(field);
    if (!value.isArray()) {
      throw new InvalidSettingsException(field, "must be an array, got " + value);
    }
    return value;
  }

  private static String asText(String field, JsonNode value) {
    if (!value.isTextual()) {
      throw new InvalidSettingsException(field, "must be a string, got " + value);
    }
    return value.asText();
  }
}
