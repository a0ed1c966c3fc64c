package stonespring.simhost;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.HexFormat;
import stonespring.model.Order;
import stonespring.model.TaskId;
import stonespring.model.Tenths;

/** Writes orders as the wire's actions. */
final class OrderWriter {
  private static final HexFormat HEX = HexFormat.of();
  private final JsonGenerator out;

  OrderWriter(JsonGenerator out) {
    this.out = out;
  }

  void write(Order order) throws IOException {
    out.writeStartArray();
    if (order instanceof Order.SetTimer o) {
      out.writeString("defer");
      out.writeNumber(Tenths.toSeconds(o.delay()));
      out.writeNumber(o.token().value());
    } else if (order instanceof Order.FetchList) {
      out.writeString("fetch");
    } else if (order instanceof Order.FollowList o) {
      out.writeString("follow");
      out.writeBoolean(o.on());
    } else if (order instanceof Order.SetLine o) {
      out.writeString("setLine");
      out.writeNumber(o.weight());
      task(o.task());
      out.writeNumber(o.table().number());
    } else if (order instanceof Order.ClearTable o) {
      out.writeString("blank");
      out.writeNumber(o.table().number());
    } else if (order instanceof Order.Bind o) {
      out.writeString("pin");
      out.writeNumber(o.table().number());
      out.writeNumber(o.proxy().number());
      out.writeNumber(o.opTypeBits());
    } else if (order instanceof Order.Withdraw o) {
      out.writeString("pull");
      task(o.task());
      out.writeBoolean(o.out());
    } else if (order instanceof Order.Admit o) {
      out.writeString("valve");
      out.writeNumber(o.opTypeBits());
      out.writeNumber(o.retry().ordinal());
      out.writeNumber(o.table().number());
      out.writeNumber(o.level());
    } else if (order instanceof Order.Mark o) {
      out.writeString("barrier");
      out.writeNumber(o.mark().number());
      out.writeBoolean(o.everyProxy());
    } else if (order instanceof Order.Probe o) {
      out.writeString("askLoad");
      task(o.task());
    } else if (order instanceof Order.TellPeer o) {
      out.writeString("writePeer");
      out.writeNumber(o.peer().number());
      out.writeString(HEX.formatHex(o.bytes()));
    } else if (order instanceof Order.LogLine o) {
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

  private void task(TaskId task) throws IOException {
    out.writeString(task.name());
  }
}
