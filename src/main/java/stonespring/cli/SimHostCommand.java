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
        "Hosts instances for the simulator: reads events from standard input and writes commands to standard"
            + " output.")
final class SimHostCommand implements Callable<Integer> {
  @Override
  public Integer call() throws CommandFailedException {
    try {
      new SimulatorHost().run(System.in, System.out);
      return ExitCode.OK;
    } catch (SimulatorProtocolException e) {
      throw CommandFailedException.failed(e.getMessage(), e);
    } catch (IOException e) {
      throw CommandFailedException.failed(
          "simhost: reading events or writing commands failed: " + e.getMessage(), e);
    }
  }
}
