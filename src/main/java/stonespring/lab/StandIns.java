package stonespring.lab;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import stonespring.discovery.Entries;
import stonespring.discovery.FileSource;

/** Stand-ins run by themselves, for trying things out by hand. */
public final class StandIns {
    private StandIns() {
    }

    /** A task at a port; its id as lists name it. */
    public static String task(String name, String zone, int port, int cores, double workMillis, boolean cold)
            throws IOException, InterruptedException {
        TaskStandIn.Make make = new TaskStandIn.Make(cores, 200, 1000, 1, Map.of(), workMillis, Map.of(), 0.2, 10_000, 4, 2_000);
        TaskStandIn task = new TaskStandIn(name, zone, make, loops(), new Evidence(false), 1);
        task.listenAt(port);
        task.start(cold);
        return task.id();
    }

    /** A registry whose list comes from a file; its address. */
    public static String registry(Path file, List<String> zones, int port) throws IOException, InterruptedException {
        MultiThreadIoEventLoopGroup loops = loops();
        RegistryStandIn registry = new RegistryStandIn(loops, new Evidence(false), 0);
        registry.start(port);
        Entries entries = new Entries(zones, 0);
        new FileSource(file, entries, (EventLoop) loops.next()).start(told -> { }, list -> registry.whole(list, zones));
        return "127.0.0.1:" + registry.port();
    }

    private static MultiThreadIoEventLoopGroup loops() {
        return new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    }
}
