package stonespring.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.HexFormat;
import stonespring.model.Command;
import stonespring.model.DeciMillis;
import stonespring.model.EndpointId;

/** Writes orders as the wire's actions. */
final class CommandWriter {
  private static final HexFormat HEX = HexFormat.of();
  private final JsonGenerator out;

  CommandWriter(JsonGenerator out) {
    this.out = out;
  }

  void write(Command order) throws IOException {
    out.writeStartArray();
    if (order instanceof Command.StartTimer o) {
      out.writeString("defer");
      out.writeNumber(DeciMillis.toSeconds(o.delay()));
      out.writeNumber(o.token().value());
    } else if (order instanceof Command.FetchEndpoints) {
      out.writeString("fetch");
    } else if (order instanceof Command.WatchEndpoints o) {
      out.writeString("follow");
      out.writeBoolean(o.enabled());
    } else if (order instanceof Command.SetRoute o) {
      out.writeString("setLine");
      out.writeNumber(o.weight());
      task(o.endpoint());
      out.writeNumber(o.table().number());
    } else if (order instanceof Command.ClearRouteTable o) {
      out.writeString("blank");
      out.writeNumber(o.table().number());
    } else if (order instanceof Command.AssignRouteTable o) {
      out.writeString("pin");
      out.writeNumber(o.table().number());
      out.writeNumber(o.proxy().number());
      out.writeNumber(o.requestClassMask());
    } else if (order instanceof Command.ExcludeEndpoint o) {
      out.writeString("pull");
      task(o.endpoint());
      out.writeBoolean(o.excluded());
    } else if (order instanceof Command.LimitAdmission o) {
      out.writeString("valve");
      out.writeNumber(o.requestClassMask());
      out.writeNumber(o.retryPolicy().ordinal());
      out.writeNumber(o.table().number());
      out.writeNumber(o.limit());
    } else if (order instanceof Command.RequestAck o) {
      out.writeString("barrier");
      out.writeNumber(o.ack().number());
      out.writeBoolean(o.everyProxy());
    } else if (order instanceof Command.HealthCheck o) {
      out.writeString("askLoad");
      task(o.endpoint());
    } else if (order instanceof Command.SendToPeer o) {
      out.writeString("writePeer");
      out.writeNumber(o.peer().number());
      out.writeString(HEX.formatHex(o.bytes()));
    } else if (order instanceof Command.Log o) {
      out.writeString("trace");
      out.writeString(o.text());
    }
    out.writeEndArray();
  }

  void writeFatal(String text) throws IOException {
    out.writeStartArray();
    out.writeString("fatal");
    out.writeString(text);
    out.writeEndArray();
  }

  private void task(EndpointId task) throws IOException {
    out.writeString(task.name());
  }
}
