package stonespring.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
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
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import stonespring.model.Command;
import stonespring.simulator.WireNames.Batch;
import stonespring.simulator.WireNames.Message;

/**
 * Hosts instances for the simulator: reads batches of events, one per line, and replies to each
 * with one line of commands. Not thread-safe.
 */
public final class SimulatorHost {
  private static final int BUFFER_BYTES = 1 << 16;

  private final JsonFactory jsonFactory =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder().maxStringLength(Integer.MAX_VALUE).build())
          .build();
  private final BatchReader batchReader =
      new BatchReader(new ObjectMapper(jsonFactory), this::handleMessage);
  private final EndpointLists endpointLists = new EndpointLists();
  private final Map<Integer, HostedInstance> instances = new TreeMap<>();

  /** Numbers of the instances that the current batch addresses, in the order of the reply. */
  private final TreeSet<Integer> addressedInstances = new TreeSet<>();

  /**
   * Replies to batches until the end of the input.
   *
   * @throws SimulatorProtocolException if the input violates the protocol, or a command refers to
   *     an unknown endpoint or proxy
   */
  public void run(InputStream input, OutputStream output) throws IOException {
    BufferedReader lines =
        new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8), BUFFER_BYTES);
    OutputStream out = new BufferedOutputStream(output, BUFFER_BYTES);
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      addressedInstances.clear();
      try {
        batchReader.read(line);
        writeReply(out);
      } catch (JsonProcessingException e) {
        throw new SimulatorProtocolException(
            "batch: the line is not valid JSON: " + e.getOriginalMessage());
      }
      out.write('\n');
      out.flush();
    }
  }

  private void handleMessage(long now, int instance, SimulatorMessage message) {
    if (message.name().equals(Message.ENDPOINT_LIST)) {
      endpointLists.put(message);
      return;
    }
    addressedInstances.add(instance);
    instances
        .computeIfAbsent(instance, number -> new HostedInstance())
        .handle(now, message, endpointLists);
  }

  private void writeReply(OutputStream out) throws IOException {
    try (JsonGenerator json = jsonFactory.createGenerator(out)) {
      json.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
      json.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
      json.writeStartObject();
      json.writeNumberField(Batch.SEQUENCE, batchReader.sequence());
      json.writeArrayFieldStart(Batch.PARTS);
      for (int number : addressedInstances) {
        writePart(json, number, instances.get(number));
      }
      json.writeEndArray();
      json.writeEndObject();
    }
  }

  /** Writes the commands and the failure of an instance; writes nothing if there are neither. */
  private void writePart(JsonGenerator json, int number, HostedInstance instance)
      throws IOException {
    List<Command> commands = instance.endBatch(batchReader.now());
    Optional<String> failure = instance.failure();
    if (commands.isEmpty() && failure.isEmpty()) {
      return;
    }
    CommandWriter writer = new CommandWriter(json);
    json.writeStartObject();
    json.writeNumberField(Batch.INSTANCE, number);
    json.writeArrayFieldStart(Batch.COMMANDS);
    for (Command command : commands) {
      writer.write(command);
    }
    if (failure.isPresent()) {
      writer.writeFailure(failure.get());
    }
    json.writeEndArray();
    json.writeEndObject();
  }
}
