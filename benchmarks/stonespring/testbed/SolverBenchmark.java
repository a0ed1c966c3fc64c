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

/** Whole solves, and solves after one in a hundred tasks and proxies changed; three op types. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MILLISECONDS)
@Warmup(iterations = 3, time = 5)
@Measurement(iterations = 3, time = 10)
@Fork(1)
public class SolverBenchmark {
  @Param({"200", "800"})
  public int size;

  private SolverTrial trial;
  private Problem whole;
  private Solver solver;
  private Plan plan;
  private Problem changed;

  @Setup(Level.Trial)
  public void draw() {
    trial = new SolverTrial(1, size, size);
    whole = trial.problem(null);
    solver = new Solver();
    plan = solver.solve(whole);
  }

  @Setup(Level.Invocation)
  public void change() {
    trial.applyRandomChanges();
    changed = trial.problem(plan);
  }

  @Benchmark
  public Plan whole() {
    return new Solver().solve(whole);
  }

  @Benchmark
  public Plan afterASmallChange() {
    plan = solver.solve(changed);
    return plan;
  }
}
