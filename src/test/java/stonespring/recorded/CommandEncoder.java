package stonespring.recorded;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import stonespring.model.Command;

/**
 * Encodes commands as bytes for {@link RecordedDigests}: a tag for the type of command, then its
 * components by position at full precision. The bytes contain no type or component names, so a
 * rename leaves them unchanged while a changed decision changes them.
 */
public final class CommandEncoder {
  private CommandEncoder() {}

  /** Encodes one batch of commands, in order, preceded by their number. */
  public static byte[] encode(List<Command> commands) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeInt(commands.size());
      for (Command command : commands) {
        write(out, command);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private static void write(DataOutputStream out, Command command) throws IOException {
    if (command instanceof Command.StartTimer c) {
      out.writeByte(0);
      out.writeLong(c.delay());
      out.writeLong(c.token().value());
    } else if (command instanceof Command.FetchEndpoints) {
      out.writeByte(1);
    } else if (command instanceof Command.WatchEndpoints c) {
      out.writeByte(2);
      out.writeBoolean(c.enabled());
    } else if (command instanceof Command.SetRoute c) {
      out.writeByte(3);
      out.writeInt(c.table().number());
      out.writeUTF(c.endpoint().name());
      out.writeDouble(c.weight());
    } else if (command instanceof Command.ClearRouteTable c) {
      out.writeByte(4);
      out.writeInt(c.table().number());
    } else if (command instanceof Command.AssignRouteTable c) {
      out.writeByte(5);
      out.writeInt(c.table().number());
      out.writeInt(c.proxy().number());
      out.writeInt(c.requestClassMask());
    } else if (command instanceof Command.ExcludeEndpoint c) {
      out.writeByte(6);
      out.writeUTF(c.endpoint().name());
      out.writeBoolean(c.excluded());
    } else if (command instanceof Command.LimitAdmission c) {
      out.writeByte(7);
      out.writeInt(c.table().number());
      out.writeInt(c.requestClassMask());
      out.writeInt(c.retryPolicy().ordinal());
      out.writeDouble(c.limit());
    } else if (command instanceof Command.RequestAck c) {
      out.writeByte(8);
      out.writeInt(c.ack().number());
      out.writeBoolean(c.everyProxy());
    } else if (command instanceof Command.HealthCheck c) {
      out.writeByte(9);
      out.writeUTF(c.endpoint().name());
    } else if (command instanceof Command.SendToPeer c) {
      out.writeByte(10);
      out.writeInt(c.peer().number());
      out.writeInt(c.bytes().length);
      out.write(c.bytes());
    } else if (command instanceof Command.Log) {
      // The text is left out, so that log lines can be reworded; that a line is logged still
      // counts.
      out.writeByte(11);
    } else {
      throw new AssertionError("no encoding for " + command);
    }
  }
}
