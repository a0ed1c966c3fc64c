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
 * A hosted instance; messages of the simulator start, stop and restart it. It shares no state with
 * other instances. If its engine throws an exception, the instance is in the failed state until it
 * is started again.
 */
final class HostedInstance {
  private final KnownIds knownIds = new KnownIds();

  /** Decodes messages with the settings of the last start; null before the first start. */
  private EventReader eventReader;

  /** Null while the instance is stopped. */
  private DecisionEngine engine;

  /** Description of the exception that the engine threw; null unless the instance has failed. */
  private String failure;

  /**
   * Handles one message. A stopped or failed instance ignores events.
   *
   * @param now the batch's time, {@link stonespring.model.DeciMillis}
   * @param lists the endpoint lists received before this message
   * @throws SimulatorProtocolException if the message is invalid or precedes the first start
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
          "message '"
              + message.name()
              + "': the instance has not received '"
              + Message.START
              + "' yet");
    }
    Event event = eventReader.read(message, lists);
    if (engine != null && failure == null) {
      knownIds.addIdsOf(event);
      runEngine(() -> engine.handle(now, event));
    }
  }

  /**
   * Ends the batch and returns the engine's commands; none if the instance is stopped or has
   * failed.
   *
   * @param now the batch's time, {@link stonespring.model.DeciMillis}
   * @throws SimulatorProtocolException if a command refers to an unknown endpoint or proxy
   */
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

  /** Returns the description of the engine's exception; empty unless the instance has failed. */
  Optional<String> failure() {
    return Optional.ofNullable(failure);
  }

  /**
   * Runs a call to the engine; if it throws an exception, puts the instance into the failed state.
   */
  private void runEngine(Runnable engineCall) {
    try {
      engineCall.run();
    } catch (RuntimeException | StackOverflowError e) {
      StackTraceElement[] stackTrace = e.getStackTrace();
      failure =
          "the decision module failed: "
              + e
              + (stackTrace.length > 0 ? " at " + stackTrace[0] : "");
      e.printStackTrace();
    }
  }
}
