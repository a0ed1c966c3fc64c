package stonespring.simulator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import stonespring.config.InvalidSettingsException;
import stonespring.config.PlatformSettings;
import stonespring.decision.AssignmentEngine;
import stonespring.model.Command;
import stonespring.model.DecisionEngine;
import stonespring.model.Event;
import stonespring.simulator.WireNames.Field;
import stonespring.simulator.WireNames.Message;

/**
 * One hosted instance. Messages start it, stop it and start it again; it shares nothing with the
 * other instances. An exception of its engine makes it fail until it is started again.
 */
final class HostedInstance {
  private final KnownIds knownIds = new KnownIds();

  /** Null until the first start. */
  private EventReader eventReader;

  /** Null while the instance is stopped. */
  private DecisionEngine engine;

  /** Null while the engine works. */
  private String failure;

  /**
   * Takes one message.
   *
   * @param now {@link stonespring.model.DeciMillis}
   * @param lists the endpoint lists sent up to this message
   */
  void handle(long now, SimulatorMessage message, EndpointLists lists) {
    switch (message.name()) {
      case Message.START -> start(now, message);
      case Message.STOP -> engine = null;
      default -> handleEvent(now, message, lists);
    }
  }

  private void start(long now, SimulatorMessage message) {
    long seed = message.value(0, Field.SEED).asLong();
    PlatformSettings settings = readSettings(message.value(1, Field.SETTINGS));
    eventReader = new EventReader(settings);
    failure = null;
    knownIds.clear();
    runEngine(() -> engine = new AssignmentEngine(settings.settings(), seed, now));
  }

  private static PlatformSettings readSettings(JsonNode settings) {
    try {
      return PlatformSettings.read(settings);
    } catch (InvalidSettingsException e) {
      throw new SimulatorProtocolException("message '" + Message.START + "': " + e.getMessage());
    }
  }

  private void handleEvent(long now, SimulatorMessage message, EndpointLists lists) {
    if (eventReader == null) {
      throw new SimulatorProtocolException(
          "message '" + message.name() + "' came before the instance's '" + Message.START + "'");
    }
    Event event = eventReader.read(message, lists);
    if (engine != null && failure == null) {
      knownIds.add(event);
      runEngine(() -> engine.handle(now, event));
    }
  }

  /** Ends the batch; no commands where the instance is stopped or has failed. */
  List<Command> endBatch(long now) {
    List<Command> commands = new ArrayList<>();
    if (engine != null && failure == null) {
      runEngine(() -> commands.addAll(engine.endBatch(now)));
    }
    if (failure != null) {
      return List.of();
    }
    commands.forEach(knownIds::check);
    return commands;
  }

  /** What made the engine fail. */
  Optional<String> failure() {
    return Optional.ofNullable(failure);
  }

  private void runEngine(Runnable engineCall) {
    try {
      engineCall.run();
    } catch (RuntimeException | StackOverflowError e) {
      StackTraceElement[] trace = e.getStackTrace();
      failure = "the decision module failed: " + e + (trace.length > 0 ? " at " + trace[0] : "");
      e.printStackTrace();
    }
  }
}
