package stonespring.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import stonespring.simulator.SimulatorHost;
import stonespring.simulator.SimulatorProtocolException;

@Command(
    name = "simhost",
    mixinStandardHelpOptions = true,
    description =
        "Hosts assigners behind the simulator's wire: events on standard input, orders on standard output.")
final class SimHostCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    try {
      new SimulatorHost().run(System.in, System.out);
      return ExitCode.OK;
    } catch (SimulatorProtocolException e) {
      return ExitCode.fail(ExitCode.FAILED, e.getMessage());
    } catch (IOException e) {
      return ExitCode.fail(ExitCode.FAILED, "input or output failed: " + e.getMessage());
    }
  }
}
