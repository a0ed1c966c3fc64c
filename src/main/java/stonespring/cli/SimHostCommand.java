package stonespring.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import stonespring.simulator.SimulatorHost;
import stonespring.simulator.SimulatorProtocolException;

/** Hosts instances for the operators' simulator. */
@Command(
    name = "simhost",
    mixinStandardHelpOptions = true,
    description =
        "Hosts assigners behind the simulator's wire: events on standard input, orders on standard output.")
final class SimHostCommand implements Callable<Integer> {
  @Override
  public Integer call() throws CommandFailedException {
    try {
      new SimulatorHost().run(System.in, System.out);
      return ExitCode.OK;
    } catch (SimulatorProtocolException e) {
      throw CommandFailedException.failed(e.getMessage(), e);
    } catch (IOException e) {
      throw CommandFailedException.failed("input or output failed: " + e.getMessage(), e);
    }
  }
}
