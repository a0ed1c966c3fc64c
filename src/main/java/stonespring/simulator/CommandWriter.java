package stonespring.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.HexFormat;
import stonespring.model.Command;
import stonespring.model.DeciMillis;
import stonespring.model.RetryPolicy;
import stonespring.simulator.WireNames.CommandName;

/** Writes each command as a JSON array: its name, followed by its values in a fixed order. */
final class CommandWriter {
  private static final HexFormat HEX = HexFormat.of();
  private final JsonGenerator json;

  CommandWriter(JsonGenerator json) {
    this.json = json;
  }

  void write(Command command) throws IOException {
    json.writeStartArray();
    if (command instanceof Command.SetRoute route) {
      writeSetRoute(route);
    } else if (command instanceof Command.ClearRouteTable clear) {
      json.writeString(CommandName.CLEAR_ROUTE_TABLE);
      json.writeNumber(clear.table().number());
    } else if (command instanceof Command.AssignRouteTable assignment) {
      writeAssignRouteTable(assignment);
    } else if (command instanceof Command.ExcludeEndpoint exclusion) {
      json.writeString(CommandName.EXCLUDE_ENDPOINT);
      json.writeString(exclusion.endpoint().name());
      json.writeBoolean(exclusion.excluded());
    } else if (command instanceof Command.LimitAdmission limit) {
      writeLimitAdmission(limit);
    } else if (command instanceof Command.RequestAck request) {
      json.writeString(CommandName.REQUEST_ACK);
      json.writeNumber(request.ack().number());
      json.writeBoolean(request.everyProxy());
    } else {
      writeLocalCommand(command);
    }
    json.writeEndArray();
  }

  /** Writes the name and the values of a command that does not change the state of proxies. */
  private void writeLocalCommand(Command command) throws IOException {
    if (command instanceof Command.StartTimer timer) {
      json.writeString(CommandName.START_TIMER);
      json.writeNumber(DeciMillis.toSeconds(timer.delay()));
      json.writeNumber(timer.token().value());
    } else if (command instanceof Command.FetchEndpoints) {
      json.writeString(CommandName.FETCH_ENDPOINTS);
    } else if (command instanceof Command.WatchEndpoints watch) {
      json.writeString(CommandName.WATCH_ENDPOINTS);
      json.writeBoolean(watch.enabled());
    } else if (command instanceof Command.HealthCheck healthCheck) {
      json.writeString(CommandName.HEALTH_CHECK);
      json.writeString(healthCheck.endpoint().name());
    } else if (command instanceof Command.SendToPeer message) {
      json.writeString(CommandName.SEND_TO_PEER);
      json.writeNumber(message.peer().number());
      json.writeString(HEX.formatHex(message.bytes()));
    } else if (command instanceof Command.Log log) {
      json.writeString(CommandName.LOG);
      json.writeString(log.text());
    }
  }

  private void writeSetRoute(Command.SetRoute route) throws IOException {
    json.writeString(CommandName.SET_ROUTE);
    json.writeNumber(route.weight());
    json.writeString(route.endpoint().name());
    json.writeNumber(route.table().number());
  }

  private void writeAssignRouteTable(Command.AssignRouteTable assignment) throws IOException {
    json.writeString(CommandName.ASSIGN_ROUTE_TABLE);
    json.writeNumber(assignment.table().number());
    json.writeNumber(assignment.proxy().number());
    json.writeNumber(assignment.requestClassMask());
  }

  private void writeLimitAdmission(Command.LimitAdmission limit) throws IOException {
    json.writeString(CommandName.LIMIT_ADMISSION);
    json.writeNumber(limit.requestClassMask());
    json.writeNumber(wireNumber(limit.retryPolicy()));
    json.writeNumber(limit.table().number());
    json.writeNumber(limit.limit());
  }

  private static int wireNumber(RetryPolicy policy) {
    return switch (policy) {
      case NEVER -> 0;
      case IF_NOT_EXECUTED -> 1;
      case ONCE_ON_FAILURE -> 2;
      case TWICE_ON_FAILURE -> 3;
    };
  }

  /** Writes the notification that the engine of the instance has failed. */
  void writeFailure(String text) throws IOException {
    json.writeStartArray();
    json.writeString(CommandName.FAILURE);
    json.writeString(text);
    json.writeEndArray();
  }
}
