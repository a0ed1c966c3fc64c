package stonespring.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import stonespring.model.Command;
import stonespring.model.DeciMillis;

/** Hosts assigners behind the simulator's wire: one line of events in, one line of orders out. */
public final class SimulatorHost {
  private static final int ENTRY_LISTS = 16;
  private final JsonFactory factory =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder().maxStringLength(Integer.MAX_VALUE).build())
          .build();
  private final ObjectMapper mapper = new ObjectMapper(factory);
  private final Map<Integer, HostedInstance> instances = new TreeMap<>();
  private final JsonNode[] entryLists = new JsonNode[ENTRY_LISTS];

  public void run(InputStream input, OutputStream output) throws IOException {
    BufferedReader lines =
        new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8), 1 << 16);
    OutputStream out = new BufferedOutputStream(output, 1 << 16);
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      try {
        batch(line, out);
      } catch (JsonProcessingException e) {
        throw new SimulatorProtocolException(
            "a line is not well-formed JSON: " + e.getOriginalMessage());
      }
      out.write('\n');
      out.flush();
    }
  }

  /** Reads the batch by streaming, keeping one message at a time in memory. */
  private void batch(String line, OutputStream out) throws IOException {
    long now = -1;
    long seq = -1;
    TreeSet<Integer> touched = new TreeSet<>();
    try (JsonParser in = mapper.createParser(line)) {
      expect(in.nextToken(), JsonToken.START_OBJECT, "the batch");
      boolean partsSeen = false;
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String field = in.currentName();
        in.nextToken();
        switch (field) {
          case "tS" -> now = DeciMillis.ofSeconds(number(in, "tS").asDouble());
          case "seq" -> seq = number(in, "seq").asLong();
          case "parts" -> {
            partsSeen = true;
            if (now < 0) {
              throw new SimulatorProtocolException(
                  "the batch's field 'tS' is missing or stands after 'parts'");
            }
            parts(in, now, touched);
          }
          default -> in.skipChildren();
        }
      }
      if (now < 0 || seq < 0 || !partsSeen) {
        throw new SimulatorProtocolException(
            "the batch lacks one of its fields 'tS', 'seq' and 'parts'");
      }
      expect(in.currentToken(), JsonToken.END_OBJECT, "the batch");
      if (in.nextToken() != null) {
        throw new SimulatorProtocolException("a line holds more than one value");
      }
    }
    reply(now, seq, touched, out);
  }

  private void parts(JsonParser in, long now, TreeSet<Integer> touched) throws IOException {
    expect(in.currentToken(), JsonToken.START_ARRAY, "field 'parts'");
    while (in.nextToken() != JsonToken.END_ARRAY) {
      expect(in.currentToken(), JsonToken.START_OBJECT, "an element of 'parts'");
      int number = -1;
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String field = in.currentName();
        in.nextToken();
        switch (field) {
          case "i" -> number = number(in, "i").asInt();
          case "msgs" -> {
            if (number < 0) {
              throw new SimulatorProtocolException("field 'i' is missing or stands after 'msgs'");
            }
            messages(in, now, number, touched);
          }
          default -> in.skipChildren();
        }
      }
    }
  }

  private void messages(JsonParser in, long now, int number, TreeSet<Integer> touched)
      throws IOException {
    expect(in.currentToken(), JsonToken.START_ARRAY, "field 'msgs'");
    while (in.nextToken() != JsonToken.END_ARRAY) {
      JsonNode values = in.readValueAsTree();
      SimulatorMessage message = HostedInstance.message(values);
      if (values.get(0).asText().equals("ledger")) {
        int list = message.small(0, "setId");
        if (list >= ENTRY_LISTS || !message.at(1, "membersList").isArray()) {
          throw message.bad(
              "membersList", "is no list, or its number is above " + (ENTRY_LISTS - 1));
        }
        entryLists[list] = message.at(1, "membersList");
        continue;
      }
      touched.add(number);
      instances.computeIfAbsent(number, n -> new HostedInstance()).take(now, values, entryLists);
    }
  }

  private void reply(long now, long seq, TreeSet<Integer> touched, OutputStream out)
      throws IOException {
    try (JsonGenerator json = factory.createGenerator(out)) {
      json.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
      json.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
      CommandWriter writer = new CommandWriter(json);
      json.writeStartObject();
      json.writeNumberField("seq", seq);
      json.writeArrayFieldStart("parts");
      for (int number : touched) {
        HostedInstance instance = instances.get(number);
        List<Command> orders = instance.finish(now);
        if (orders.isEmpty() && instance.failure() == null) {
          continue;
        }
        json.writeStartObject();
        json.writeNumberField("i", number);
        json.writeArrayFieldStart("decisions");
        for (Command order : orders) {
          writer.write(order);
        }
        if (instance.failure() != null) {
          writer.writeFatal(instance.failure());
        }
        json.writeEndArray();
        json.writeEndObject();
      }
      json.writeEndArray();
      json.writeEndObject();
    }
  }

  private static JsonNode number(JsonParser in, String field) throws IOException {
    JsonNode value = in.readValueAsTree();
    if (!value.isNumber()) {
      throw new SimulatorProtocolException("field '" + field + "' is not a number: " + value);
    }
    return value;
  }

  private static void expect(JsonToken found, JsonToken wanted, String what) {
    if (found != wanted) {
      throw new SimulatorProtocolException(what + " is not well-formed: " + found);
    }
  }
}
