package stonespring.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import stonespring.lab.StandIns;

@Command(name = "task", mixinStandardHelpOptions = true,
        description = "Runs a stand-in task: POST /op/TYPE with headers x-op and x-try, a load report in each answer.")
final class TaskCommand implements Callable<Integer> {
    @Option(names = "--port", defaultValue = "0", description = "Its port; 0 takes a free one.")
    private int port;

    @Option(names = "--name", defaultValue = "t1", description = "Its name (${DEFAULT-VALUE}).")
    private String name;

    @Option(names = "--zone", defaultValue = "west", description = "Its zone (${DEFAULT-VALUE}).")
    private String zone;

    @Option(names = "--cores", defaultValue = "2", description = "Cores (${DEFAULT-VALUE}).")
    private int cores;

    @Option(names = "--work-ms", defaultValue = "20", description = "Mean work of an op (${DEFAULT-VALUE}).")
    private double workMillis;

    @Option(names = "--cold", description = "It starts cold, and warms within 10 s.")
    private boolean cold;

    @Mixin private Logs logs;

    @Override public Integer call() throws Exception {
        logs.set();
        System.out.println("task " + StandIns.task(name, zone, port, cores, workMillis, cold));
        Thread.currentThread().join();
        return Exit.GOOD;
    }
}
