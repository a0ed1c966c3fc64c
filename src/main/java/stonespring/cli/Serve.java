package stonespring.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import stonespring.config.AssignerSettings;
import stonespring.config.ScriptException;
import stonespring.daemon.Daemon;

@Command(name = "serve", mixinStandardHelpOptions = true, description = "Runs an assigner until it is told to stop.")
final class Serve implements Callable<Integer> {
    private static final long STOP_SECONDS = 10; // s; an orderly stop takes two at the most

    @Parameters(paramLabel = "FILE", description = "The settings script.")
    private Path file;

    @Option(names = "--port", description = "Snapshot port, instead of the script's; 0 takes three free ones.")
    private Integer port;

    @Option(names = "--registry-port", description = "The registry's port, instead of the script's.")
    private Integer registryPort;

    @Option(names = "--saved-list", paramLabel = "PATH", description = "Where the last list is kept, instead of the script's.")
    private Path savedList;

    @Mixin private Logs logs;

    @Override public Integer call() throws Exception {
        logs.set();
        AssignerSettings settings;
        try {
            settings = AssignerSettings.read(file);
        } catch (ScriptException e) {
            return Exit.fail(Exit.USAGE, "settings:\n" + e.getMessage());
        }
        try {
            settings = settings.with(port, registryPort, savedList);
        } catch (IllegalArgumentException e) {
            return Exit.fail(Exit.USAGE, e.getMessage());
        }
        Daemon daemon = new Daemon(settings);
        AtomicBoolean told = new AtomicBoolean();
        CountDownLatch done = new CountDownLatch(1);
        Thread hook = new Thread(() -> {
            told.set(true);
            try {
                daemon.stop();
                done.await(STOP_SECONDS, java.util.concurrent.TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "stop");
        daemon.start();
        Runtime.getRuntime().addShutdownHook(hook);
        System.out.println("serving " + settings.host() + " " + daemon.port());
        System.out.flush();
        Throwable failure = daemon.awaitEnd();
        if (told.get()) {
            done.countDown(); // the hook ends the process; its exit code is the signal's
            hook.join();
            return Exit.GOOD;
        }
        Runtime.getRuntime().removeShutdownHook(hook);
        daemon.stop();
        return Exit.fail(Exit.FAILED, "serve: " + failure);
    }
}
