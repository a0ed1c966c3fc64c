package stonespring.testbed;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import stonespring.solver.Plan;
import stonespring.solver.Problem;
import stonespring.solver.Solver;

/**
 * Measures the weight solver from scratch and after 1 % of the endpoints and proxies have changed,
 * with three request classes.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MILLISECONDS)
@Warmup(iterations = 3, time = 5)
@Measurement(iterations = 3, time = 10)
@Fork(1)
public class SolverBenchmark {
  @Param({"200", "800"})
  public int size; // number of endpoints and number of proxies

  private SolverTrial trial;
  private Problem initialProblem;
  private Solver solver;
  private Plan plan;
  private Problem changedProblem;

  @Setup(Level.Trial)
  public void drawFleet() {
    trial = new SolverTrial(1, size, size);
    initialProblem = trial.problem(null);
    solver = new Solver();
    plan = solver.solve(initialProblem);
  }

  @Setup(Level.Invocation)
  public void changeFleet() {
    trial.applyRandomChanges();
    changedProblem = trial.problem(plan);
  }

  @Benchmark
  public Plan solveFromScratch() {
    return new Solver().solve(initialProblem);
  }

  @Benchmark
  public Plan solveAfterSmallChange() {
    plan = solver.solve(changedProblem);
    return plan;
  }
}
