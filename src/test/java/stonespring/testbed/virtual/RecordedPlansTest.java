package stonespring.testbed.virtual;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.junit.jupiter.api.Test;
import stonespring.model.DeciMillis;
import stonespring.recorded.RecordedDigests;
import stonespring.solver.Plan;

/**
 * Guards against unintended changes of the weight solver's plans. Generated loads are replayed
 * through the engine, the solver and the proxies' routing; at fixed times every number of the plan,
 * with all its bits, must match a recorded digest.
 */
final class RecordedPlansTest {
  private static final int ENDPOINTS = 12;
  private static final int PROXY_COUNT = 10;

  @Test
  void plansMatchRecordedDigests() throws IOException {
    RecordedDigests digests = new RecordedDigests();
    for (LoadGenerator.Kind kind :
        List.of(
            LoadGenerator.Kind.SURGE, LoadGenerator.Kind.LOST_ZONE, LoadGenerator.Kind.DEPLOY)) {
      VirtualFleet fleet =
          new VirtualFleet(
              LoadGenerator.generate(kind, 1, ENDPOINTS, PROXY_COUNT), Policy.SOLVER, 1);
      for (long second : new long[] {12, 35}) {
        fleet.replayUntil(second * DeciMillis.SECOND);
        RecordedDigests.Recording recording = new RecordedDigests.Recording();
        record(recording, fleet.plan().orElseThrow());
        digests.put(kind + "/" + second, recording);
      }
    }
    digests.check("plans.sha256");
  }

  private static void record(RecordedDigests.Recording recording, Plan plan) {
    for (Plan.Table table : plan.tables()) {
      for (Plan.Route route : table.routes()) {
        recording.add(table.proxy().number() + " " + route.endpoint().name());
        recording.add(bits(route.weight()));
        recording.add(bits(route.weightsByClass()));
      }
    }
    for (Plan.EndpointAllocation allocation : plan.allocations()) {
      recording.add(allocation.endpoint().name() + " " + allocation.reason().ordinal());
      recording.add(
          bits(allocation.capacity(), allocation.load(), allocation.target(), allocation.price()));
      recording.add(bits(allocation.plansBelowTarget()));
    }
    recording.add(bits(plan.cost(), plan.lowerBound(), plan.unplacedRate()));
    recording.add(bits(plan.newRoutes(), plan.changedRoutes()));
  }

  private static byte[] bits(double... numbers) {
    ByteBuffer bytes = ByteBuffer.allocate(numbers.length * Double.BYTES);
    for (double number : numbers) {
      bytes.putDouble(number);
    }
    return bytes.array();
  }
}
