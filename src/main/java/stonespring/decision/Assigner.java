package stonespring.decision;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32;
import stonespring.model.DecisionModule;
import stonespring.model.Event;
import stonespring.model.Listing;
import stonespring.model.LoadReport;
import stonespring.model.MarkId;
import stonespring.model.Order;
import stonespring.model.PeerId;
import stonespring.model.ProxyId;
import stonespring.model.Settings;
import stonespring.model.TableId;
import stonespring.model.TaskId;
import stonespring.model.Tenths;
import stonespring.model.TimerToken;

/**
 * All decisions of one assigner. A host makes one instance with the settings and a seed, gives it every event of a
 * moment through {@link DecisionModule#take} and carries out what {@link DecisionModule#finish} returns, in order.
 * The interface is {@code stonespring.model.DecisionModule}; the types of events, orders and settings stand beside it.
 * The instance keeps no clock, thread or file, so that a simulator and a daemon can drive it alike.
 */
public final class Assigner implements DecisionModule {
    // ---- Constants: each with its unit and the reason for its size.

    /** Share of a task's capacity that counts as room; the design's 0.8, so a task may go to 1.25 of its part. */
    private static final double FILL = 0.8;
    /** Tenths of a ms until freed room counts though no answer came; the design's 2 s. */
    private static final long CREDIT_WAIT = 2 * Tenths.SECOND;
    /** Tenths of a ms until a move shows in the sums: a sum's usual period and lateness on top of the message's. */
    private static final long SHOWS_AFTER = 3 * Tenths.SECOND;
    /** Potential time of a move in a cycle, in tenths of a ms: above any chain that a channel could hold. */
    private static final double CYCLE = 1e9;
    /** Share of a table's traffic that must change before a move is worth a message; under it is noise of the sums. */
    private static final double MOVE_LEAST = 0.05;
    /** Smallest weight of a kept line: enough ops to see a task come back, few enough to lose. */
    private static final double LINE_LEAST = 0.01;
    /** Least part of a draw's weight that a task without room keeps: chance still spreads the tables. */
    private static final double ROOM_LEAST = 0.1;
    /** Times that a task of the proxy's own zone is likelier drawn; two lines in three at home with three zones. */
    private static final double HOME_PULL = 4;
    /** Fewest lines of a table: with fewer, one bad task is a third of a proxy's ops. */
    private static final int LINES_LEAST = 4;
    /** Rounds of weighing lines per turn: the weights move less than a percent after that. */
    private static final int WEIGHING_ROUNDS = 40;
    /** Price of an op sent to a failing task, in ops lost: one and the time lost with it. */
    private static final double FAIL_PRICE = 1.5;
    /** Part of ops lost to a full task as a power of its fill: nothing at half, one in two when full. */
    private static final double LOSS_POWER = 6;
    /** Half-life of sums in tenths of a ms: two periods, to follow trouble within a few seconds yet smooth noise. */
    private static final long HALF_LIFE = 2 * Tenths.SECOND;
    /** Tenths of a ms without a line until what was heard fades: sums may come so late. */
    private static final long FADE_AFTER = 4 * Tenths.SECOND;
    /** Fill of tasks that nothing was heard of, share: an ordinary day's. */
    private static final double USUAL_FILL = 0.6;
    /** Least busy share from which a task's speed is read: under it the report's noise rules. */
    private static final double BUSY_LEAST = 0.15;
    /** Weight of a new reading of an op's cost, share: some twenty readings, as reports carry a tenth of noise. */
    private static final double COST_STEP = 0.05;
    /** Fill, against the mean, under which a warm task counts as left out; half an ordinary spread under it. */
    private static final double IDLE_FILL = 0.6;
    /** Tenths of a ms until a task left out may enter again: its first entry shows in the sums by then. */
    private static final long ENTER_AGAIN = 5 * Tenths.SECOND;
    /** Tenths of a ms until what a peer said no longer counts: a few of its messages may be lost. */
    private static final long PEER_STALE = 6 * Tenths.SECOND;
    /** Bytes of a message to peers at most: the channel between them takes no more. */
    private static final int PEER_BYTES = 256;
    /** Tenths of a ms between messages to peers: they cost little, and loads don't change faster. */
    private static final long PEER_EVERY = Tenths.SECOND;
    /** Turns with sums that an assigner waits before it touches tables that stand from before it started. */
    private static final int SETTLE_TURNS = 3;
    /** Times that the channel may run slower than told; the slowest seen so far and some. */
    private static final double CHANNEL_SLOW = 5;
    /** Share of the channel's limit that routine orders may fill; the rest is kept for drains and empty tables. */
    private static final double ROUTINE_LINES = 0.3;
    /** Share of a proxy's message limit that routine orders may use; the rest is kept likewise. */
    private static final double ROUTINE_MESSAGES = 0.5;
    /** Bad share above which a task counts as down, and from which it is cold when it answers again. */
    private static final double DOWN_SHARE = 0.8;
    /** Bad share of tries under which a moment counts as calm, so that capacity can be read from what was carried. */
    private static final double CALM = 0.1;
    /** Share of their capacity that ops may fill before the rest is rejected: above it queues outgrow the targets. */
    private static final double ADMIT_FILL = 0.92;
    /** Busy share of all tasks under which nothing is rejected, whatever the reckoning: they have time left. */
    private static final double SHED_FILL = 0.8;
    /** Rise of a level per turn once the tasks have time again: all is let in within a few seconds. */
    private static final double LEVEL_RISE = 1.15;
    /** Least level, share: some ops must come in to show whether tasks still work. */
    private static final double LEVEL_LEAST = 0.05;
    /** Smallest change of a level worth a message to every proxy, share. */
    private static final double LEVEL_STEP = 0.05;
    /** Tries that a cold task may be sent, in what it surely can do: a third of the usual limit, as chance clusters. */
    private static final double COLD_FILL = 1;
    /** Tenths of a ms between attempts to follow the list at first; doubles up to the last one. */
    private static final long FOLLOW_RETRY = Tenths.SECOND / 2;
    private static final long FOLLOW_RETRY_MOST = 4 * Tenths.SECOND;
    /** The one timer's token. */
    private static final TimerToken TICK = new TimerToken(1);

    // ---- Parts and notes: parts talk only through inboxes that one loop empties.

    private interface Note {
    }

    private record Entry(Listing listing) implements Note {
    }

    private record Missing() implements Note {
    }

    private record Told(Event event) implements Note {
    }

    private record Leaving(int task) implements Note {
    }

    private record Entering(int task) implements Note {
    }

    private record Joined(Proxy proxy) implements Note {
    }

    private record Heard() implements Note {
    }

    private abstract class Part {
        private final ArrayDeque<Note> inbox = new ArrayDeque<>();

        abstract void on(Note note);
    }

    private final ArrayDeque<Part> waiting = new ArrayDeque<>();

    private void post(Part part, Note note) {
        part.inbox.add(note);
        waiting.add(part);
    }

    private void emptyInboxes() {
        for (Part part = waiting.poll(); part != null; part = waiting.poll()) {
            part.on(part.inbox.poll());
        }
    }

    // ---- The instance.

    private final Settings set;
    private final long seed;
    private long draws;
    private long now;
    private final Roster roster = new Roster();
    private final Planner planner = new Planner();
    private final Channel channel = new Channel();
    private final TreeMap<Integer, Proxy> proxies = new TreeMap<>();

    // Figures about tasks: parallel arrays under a task's index.
    private int tasks;
    private final Map<TaskId, Task> taskById = new HashMap<>();
    private Task[] task = new Task[32];
    private int[] zone = new int[32];
    private double[] listed = new double[32];
    private Listing.State[] state = new Listing.State[32];
    private long[] started = new long[32];
    private long[] heardSince = new long[32];
    private double[] rate = new double[32];
    private double[] busy = new double[32];
    private double[] cost = new double[32];
    private int[] costReadings = new int[32];
    private double[] told = new double[32];
    private double[] others = new double[32];
    private long[] entered = new long[32];
    private boolean[] down = new boolean[32];
    private boolean[] out = new boolean[32];
    private double[][] bad;
    private double[][] tries;
    private double[][] zoneRate;
    private long[][] lastLine;

    public Assigner(Settings settings, long seed, long now) {
        this.set = settings;
        this.seed = seed;
        this.now = now;
        this.bad = new double[settings.zones()][32];
        this.tries = new double[settings.zones()][32];
        this.zoneRate = new double[settings.zones()][32];
        this.lastLine = new long[settings.zones()][32];
    }

    @Override
    public void take(long at, Event event) {
        now = at;
        if (event instanceof Event.TaskSums e) {
            Task t = taskById.get(e.task());
            if (t != null) {
                post(t, new Told(e));
            }
        } else if (event instanceof Event.ProxyJoined e) {
            post(proxies.computeIfAbsent(e.proxy().number(), n -> new Proxy(e.proxy())), new Told(e));
        } else if (event instanceof Event.ProxyLeft e) {
            toProxy(e.proxy(), event);
        } else if (event instanceof Event.ProxyOps e) {
            toProxy(e.proxy(), event);
        } else if (event instanceof Event.Answered e) {
            toProxy(e.proxy(), event);
        } else if (event instanceof Event.PeerSaid) {
            post(planner, new Told(event));
        } else if (event instanceof Event.ListTold || event instanceof Event.TimerDue) {
            post(roster, new Told(event));
        }
        emptyInboxes();
    }

    private void toProxy(ProxyId id, Event event) {
        Proxy proxy = proxies.get(id.number());
        if (proxy != null) {
            post(proxy, new Told(event));
        }
    }

    @Override
    public List<Order> finish(long at) {
        now = at;
        emptyInboxes();
        planner.plan();
        return channel.flush();
    }

    /** Chance: a number from 0 to 1, the same for the same seed and count of draws. */
    private double chance() {
        CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(16).putLong(seed).putLong(draws++).array());
        return crc.getValue() / 4294967296.0;
    }

    private boolean live(int i) {
        return state[i] == Listing.State.READY;
    }

    /** Part of its full capacity that a task surely has: a started one rises from the cold share, evenly at worst. */
    private double warmth(int i) {
        if (started[i] <= 0) {
            return 1;
        }
        double age = (double) Math.max(0, now - started[i]) / Math.max(1, set.coldTime());
        return Math.min(1, set.coldShare() + (1 - set.coldShare()) * age);
    }

    private double allTries(int i) {
        double sum = 0;
        for (double[] of : tries) {
            sum += of[i];
        }
        return sum;
    }

    private double allBad(int i) {
        double sum = 0;
        for (double[] of : bad) {
            sum += of[i];
        }
        return sum;
    }

    // ---- A task.

    private final class Task extends Part {
        private final TaskId id;
        private final int index;
        private final int shortName;

        Task(TaskId id) {
            this.id = id;
            this.index = tasks++;
            CRC32 crc = new CRC32();
            crc.update(id.name().getBytes(StandardCharsets.UTF_8));
            this.shortName = (int) (crc.getValue() & 0xffff);
            if (index == task.length) {
                int size = 2 * index;
                task = Arrays.copyOf(task, size);
                zone = Arrays.copyOf(zone, size);
                listed = Arrays.copyOf(listed, size);
                state = Arrays.copyOf(state, size);
                started = Arrays.copyOf(started, size);
                heardSince = Arrays.copyOf(heardSince, size);
                rate = Arrays.copyOf(rate, size);
                busy = Arrays.copyOf(busy, size);
                cost = Arrays.copyOf(cost, size);
                costReadings = Arrays.copyOf(costReadings, size);
                told = Arrays.copyOf(told, size);
                others = Arrays.copyOf(others, size);
                entered = Arrays.copyOf(entered, size);
                down = Arrays.copyOf(down, size);
                out = Arrays.copyOf(out, size);
                for (int z = 0; z < bad.length; z++) {
                    bad[z] = Arrays.copyOf(bad[z], size);
                    tries[z] = Arrays.copyOf(tries[z], size);
                    zoneRate[z] = Arrays.copyOf(zoneRate[z], size);
                    lastLine[z] = Arrays.copyOf(lastLine[z], size);
                }
            }
            task[index] = this;
            state[index] = Listing.State.GONE;
            forget();
        }

        private void forget() {
            heardSince[index] = -1;
            rate[index] = 0;
            busy[index] = Double.NaN;
            costReadings[index] = 0;
            told[index] = Double.NaN;
            others[index] = 0;
            down[index] = false;
            for (int z = 0; z < bad.length; z++) {
                bad[z][index] = 0;
                tries[z][index] = 0;
                zoneRate[z][index] = 0;
                lastLine[z][index] = 0;
            }
        }

        @Override
        void on(Note note) {
            if (note instanceof Entry e) {
                entry(e.listing());
            } else if (note instanceof Missing && state[index] != Listing.State.GONE) {
                state[index] = Listing.State.GONE;
                post(planner, new Leaving(index));
            } else if (note instanceof Told t && t.event() instanceof Event.TaskSums sums) {
                sums(sums);
            }
        }

        private void entry(Listing l) {
            zone[index] = l.zone().index();
            listed[index] = l.weight() > 0 ? l.weight() : 1;
            boolean was = live(index);
            boolean again = l.startedAt() > started[index];
            if (l.state() == Listing.State.READY) {
                state[index] = Listing.State.READY;
                if (again) {
                    // A task that started again is cold though tables still name it.
                    forget();
                    started[index] = l.startedAt();
                }
                if (again || !was) {
                    post(planner, new Entering(index));
                }
            } else {
                state[index] = l.state();
                post(planner, new Leaving(index));
            }
        }

        private void sums(Event.TaskSums e) {
            double span = Math.max(1, e.span());
            double keep = Math.pow(0.5, span / HALF_LIFE);
            int z = e.from().index();
            if (heardSince[index] < 0) {
                heardSince[index] = now;
            }
            double seen = e.tries() * Tenths.SECOND / span;
            bad[z][index] = bad[z][index] * keep + e.bad();
            tries[z][index] = tries[z][index] * keep + e.tries();
            zoneRate[z][index] = lastLine[z][index] == 0 ? seen : zoneRate[z][index] * keep + (1 - keep) * seen;
            lastLine[z][index] = now;
            LoadReport r = e.report();
            if (!Double.isNaN(r.busyShare())) {
                busy[index] = Double.isNaN(busy[index]) ? r.busyShare()
                        : busy[index] + (1 - keep) * (r.busyShare() - busy[index]);
            }
            if (r.opsPerSecond() >= 0) {
                told[index] = Double.isNaN(told[index]) ? r.opsPerSecond()
                        : told[index] + (1 - keep) * (r.opsPerSecond() - told[index]);
            }
            double allTries = allTries(index);
            if (allTries >= 3 && allBad(index) / allTries > DOWN_SHARE) {
                down[index] = true;
            } else if (down[index] && e.bad() * 2 < e.tries()) {
                // What was down for all and answers again may have started again: cold until the list says more.
                down[index] = false;
                started[index] = Math.max(started[index], now - Tenths.SECOND);
            }
            post(planner, new Heard());
        }
    }

    // ---- The list.

    private final class Roster extends Part {
        private long nextFollow = -1;
        private long followWait = FOLLOW_RETRY;
        private boolean following;
        private boolean ticking;

        @Override
        void on(Note note) {
            Event event = ((Told) note).event();
            if (event instanceof Event.ListTold e) {
                list(e);
            }
            if (event instanceof Event.TimerDue) {
                ticking = false;
            }
            if (!following && set.listOnRequest() && now >= nextFollow) {
                channel.other(new Order.FollowList(true));
                nextFollow = now + followWait + (long) (followWait * chance());
                followWait = Math.min(FOLLOW_RETRY_MOST, 2 * followWait);
            }
            if (!ticking) {
                ticking = true;
                channel.other(new Order.SetTimer(set.sumsEvery() / 2, TICK));
            }
        }

        private void list(Event.ListTold e) {
            if (e.kind() == Event.ListKind.FAILED) {
                following = false;
                nextFollow = Math.max(nextFollow, now + followWait);
                return;
            }
            if (e.kind() != Event.ListKind.LAST_SEEN) {
                following = true;
                followWait = FOLLOW_RETRY;
            }
            boolean[] seen = new boolean[tasks + e.entries().size()];
            for (Listing l : e.entries()) {
                Task t = taskById.computeIfAbsent(l.task(), Task::new);
                seen[t.index] = true;
                post(t, new Entry(l));
            }
            if (e.kind() == Event.ListKind.WHOLE) {
                for (int i = 0; i < tasks; i++) {
                    if (!seen[i]) {
                        post(task[i], new Missing());
                    }
                }
            }
        }
    }

    // ---- A proxy.

    private final class Proxy extends Part {
        private final ProxyId id;
        private int zoneIndex;
        private boolean joined;
        private boolean bound;
        private boolean wanted;
        private boolean fresh;
        private long joinedAt;
        private double ops;
        private final double[] opsByType = new double[set.opTypes().size()];
        private final boolean[] opsHeard = new boolean[set.opTypes().size()];
        private double[] lines = new double[0];
        private final TreeMap<Integer, Integer> swap = new TreeMap<>();
        private boolean warned;
        private final ArrayDeque<Long> messages = new ArrayDeque<>();
        private final ArrayDeque<Freed> freed = new ArrayDeque<>();

        Proxy(ProxyId id) {
            this.id = id;
        }

        TableId table() {
            return new TableId(id.number());
        }

        double line(int i) {
            return i < lines.length ? lines[i] : 0;
        }

        @Override
        void on(Note note) {
            Event event = ((Told) note).event();
            if (event instanceof Event.ProxyJoined e) {
                zoneIndex = e.zone().index();
                joined = true;
                bound = false;
                fresh = e.fresh();
                warned = e.fresh();
                joinedAt = now;
                messages.clear();
                if (ops <= 0) {
                    ops = e.opsPerSecond();
                }
                post(planner, new Joined(this));
            } else if (event instanceof Event.ProxyLeft) {
                joined = false;
                bound = false;
                freed.forEach(f -> f.answered = true);
                freed.clear();
            } else if (event instanceof Event.ProxyOps e) {
                int k = e.opType().index();
                double seen = e.ops() * (double) Tenths.SECOND / Math.max(1, e.span());
                double keep = Math.pow(0.5, (double) e.span() / HALF_LIFE);
                opsByType[k] = opsHeard[k] ? opsByType[k] * keep + (1 - keep) * seen : seen;
                opsHeard[k] = true;
                boolean all = true;
                double sum = 0;
                for (int j = 0; j < opsHeard.length; j++) {
                    all &= opsHeard[j];
                    sum += opsByType[j];
                }
                ops = all ? sum : Math.max(ops, sum);
            } else if (event instanceof Event.Answered e) {
                while (!freed.isEmpty()) {
                    Freed first = freed.poll();
                    first.answered = true;
                    if (first.mark == e.mark().number()) {
                        break;
                    }
                }
            }
        }
    }

    /** Load that a sent move shifts and that the sums don't show yet. */
    private static final class Freed {
        private final int mark;
        private final long at;
        private final int[] at0;
        private final double[] part;
        private boolean answered;

        Freed(int mark, long at, int[] at0, double[] part) {
            this.mark = mark;
            this.at = at;
            this.at0 = at0;
            this.part = part;
        }
    }

    // ---- The tables: targets, moves, rounds.

    /** One table that differs from its target. */
    private final class Move {
        private final Proxy proxy;
        private final double[] target;
        private double potential = -1;
        private boolean open;

        Move(Proxy proxy, double[] target) {
            this.proxy = proxy;
            this.target = target;
        }

        double part(int i) {
            return proxy.ops * (target[i] - proxy.line(i));
        }

        double ownTime() {
            int changed = set.messageHead();
            for (int i = 0; i < target.length; i++) {
                changed += differs(target[i], proxy.line(i)) ? 1 : 0;
            }
            return changed * Tenths.SECOND / set.linesPerSecond();
        }
    }

    private static boolean differs(double a, double b) {
        return Math.abs(a - b) > 0.005 + 0.05 * Math.max(a, b) || (a > 0) != (b > 0);
    }

    private final class Planner extends Part {
        private final ArrayList<Integer> entrants = new ArrayList<>();
        private final ArrayList<Proxy> urgent = new ArrayList<>();
        private final ArrayList<Freed> moving = new ArrayList<>();
        private boolean heard;
        private long lastTurn = Long.MIN_VALUE / 2;
        private int turns;
        private double[] capacity = new double[0];
        private double[] planned = new double[0];
        private double demand;
        private double peerDemand;
        private final TreeMap<Integer, Map<Integer, Integer>> peers = new TreeMap<>();
        private final TreeMap<Integer, Long> peerTold = new TreeMap<>();
        private long toldPeers = Long.MIN_VALUE / 2;
        private long peerAt = Long.MIN_VALUE / 2;
        private double triesPerOp = 1;
        private double level = 1;

        @Override
        void on(Note note) {
            if (note instanceof Leaving l) {
                leave(l.task());
            } else if (note instanceof Entering e) {
                entrants.add(e.task());
            } else if (note instanceof Joined j) {
                j.proxy().wanted = true;
            } else if (note instanceof Heard) {
                heard = true;
            } else if (note instanceof Told t && t.event() instanceof Event.PeerSaid said) {
                peerSaid(said);
            }
        }

        /** What a peer's proxies bring: all ops, then pairs of a task's short name and its ops, tenths a second. */
        private void peerSaid(Event.PeerSaid said) {
            ByteBuffer in = ByteBuffer.wrap(said.bytes());
            if (in.remaining() < 2) {
                return;
            }
            Map<Integer, Integer> heardOps = new HashMap<>();
            heardOps.put(-1, in.getShort() & 0xffff);
            while (in.remaining() >= 4) {
                heardOps.put(in.getShort() & 0xffff, in.getShort() & 0xffff);
            }
            peers.put(said.from().number(), heardOps);
            peerTold.put(said.from().number(), now);
            peerAt = now;
            sumPeers();
        }

        private void sumPeers() {
            peerDemand = 0;
            Arrays.fill(others, 0);
            peers.forEach((from, ops) -> {
                if (now - peerTold.get(from) < PEER_STALE) {
                    peerDemand += ops.get(-1) / 10.0;
                    for (int i = 0; i < tasks; i++) {
                        others[i] += ops.getOrDefault(task[i].shortName, 0) / 10.0;
                    }
                }
            });
        }

        private void tellPeers() {
            if (!set.peers() || set.assigners() < 2 || now - toldPeers < PEER_EVERY) {
                return;
            }
            toldPeers = now;
            ByteBuffer text = ByteBuffer.allocate(PEER_BYTES);
            text.putShort((short) Math.min(65_535, demand * 10));
            for (int i = 0; i < tasks && text.remaining() >= 4; i++) {
                if (live(i) && rate[i] >= 0.1) {
                    text.putShort((short) task[i].shortName).putShort((short) Math.min(65_535, rate[i] * 10));
                }
            }
            channel.other(new Order.TellPeer(new PeerId(-1), Arrays.copyOf(text.array(), text.position())));
        }

        private void leave(int i) {
            channel.withdraw(i, true);
            for (Proxy p : proxies.values()) {
                if (p.joined && p.bound && p.line(i) > 0 && !urgent.contains(p)) {
                    urgent.add(p);
                }
            }
        }

        /** Called once at the end of a moment. */
        void plan() {
            boolean turn = heard && now - lastTurn >= set.sumsEvery() * 9 / 10;
            if (turn) {
                sumPeers();
                settleSums();
                lastTurn = now;
                turns++;
            }
            boolean anyOut = false;
            for (int i = 0; i < tasks; i++) {
                anyOut |= !live(i);
            }
            for (Proxy p : proxies.values()) {
                // Standing tables are left alone after a start until sums were heard, unless what left may be all of it.
                boolean late = anyOut && now - p.joinedAt > set.emptyLimit() / 2;
                if (p.joined && !p.bound && p.wanted && (p.fresh || turns >= SETTLE_TURNS || late)) {
                    urgent.add(p);
                } else if (p.joined && !p.bound && !p.warned) {
                    // Tables from before this stream may name what left: withdrawals don't reach later joiners.
                    p.warned = true;
                    for (int i = 0; i < tasks; i++) {
                        if (!live(i)) {
                            channel.withdraw(i, true);
                        }
                    }
                }
            }
            urgent.removeIf(p -> !p.joined || !channel.roomForUrgent(p));
            if (urgent.isEmpty() && !turn) {
                return;
            }
            weighCapacity();
            if (turn) {
                enter();
            }
            List<Proxy> known = new ArrayList<>();
            List<double[]> targets = new ArrayList<>();
            planned = new double[tasks];
            for (Proxy p : proxies.values()) {
                if (p.joined && (p.bound || urgent.contains(p))) {
                    double[] target = lineUp(p);
                    known.add(p);
                    targets.add(target);
                    for (int i = 0; i < tasks; i++) {
                        planned[i] += p.ops * target[i];
                    }
                }
            }
            weigh(known, targets);
            capCold(known, targets);
            for (int k = 0; k < known.size(); k++) {
                Proxy p = known.get(k);
                if (urgent.contains(p)) {
                    send(new Move(p, targets.get(k)), 1);
                }
            }
            if (turn) {
                levels();
                tellPeers();
                rounds(known, targets);
            }
            urgent.clear();
        }

        /** Sums up a turn's rates; a line's span says since when it counts, so what sent no line only fades. */
        private void settleSums() {
            double keep = Math.pow(0.5, (double) set.sumsEvery() / HALF_LIFE);
            for (int i = 0; i < tasks; i++) {
                rate[i] = 0;
                for (int z = 0; z < bad.length; z++) {
                    if (now - lastLine[z][i] > FADE_AFTER + set.sumsEvery()) {
                        bad[z][i] *= keep;
                        tries[z][i] *= keep;
                        zoneRate[z][i] *= keep;
                    }
                    rate[i] += zoneRate[z][i];
                }
                readCost(i);
            }
            heard = false;
        }

        /** Busy time an op costs a task, from calm moments of a warm one: in a jam tries are refused or in vain. */
        private void readCost(int i) {
            double total = total(i);
            if (busy[i] > BUSY_LEAST && total > 1 && warmth(i) >= 1 && allBad(i) < CALM * allTries(i)) {
                double step = Math.max(COST_STEP, 1.0 / ++costReadings[i]);
                cost[i] = costReadings[i] == 1 ? busy[i] / total : cost[i] + step * (busy[i] / total - cost[i]);
            }
        }

        /** Ops a second that all proxies bring a task: told by it, or heard here and from peers. */
        private double total(int i) {
            if (!Double.isNaN(told[i])) {
                return Math.max(told[i], rate[i]);
            }
            return peersHeard() ? rate[i] + others[i] : rate[i] / share();
        }

        private boolean peersHeard() {
            return now - peerAt < PEER_STALE;
        }

        /** This assigner's part of all traffic: by what peers say, else by its part of the proxies. */
        private double share() {
            if (set.assigners() == 1) {
                return 1;
            }
            if (peersHeard()) {
                return Math.max(0.01, demand / Math.max(0.01, demand + peerDemand));
            }
            int joined = 0;
            for (Proxy p : proxies.values()) {
                joined += p.joined ? 1 : 0;
            }
            return Math.max(0.01, Math.min(1, (double) joined / set.proxies()));
        }

        /** Capacity of each task in ops a second: from the busy time of its ops, else listed weight and the average. */
        private void weighCapacity() {
            capacity = new double[tasks];
            double read = 0;
            double readListed = 0;
            double allListed = 0;
            double sent = 0;
            demand = 0;
            for (Proxy p : proxies.values()) {
                demand += p.joined ? p.ops : 0;
            }
            for (int i = 0; i < tasks; i++) {
                if (live(i)) {
                    allListed += listed[i];
                    sent += rate[i];
                    if (costReadings[i] > 0) {
                        read += 1 / cost[i];
                        readListed += listed[i];
                    }
                }
            }
            triesPerOp = Math.max(1, sent / Math.max(1, demand));
            for (int i = 0; i < tasks; i++) {
                if (live(i)) {
                    double full = costReadings[i] > 0 ? 1 / cost[i]
                            : read > 0 ? read * listed[i] / readListed
                            : listed[i] / allListed * Math.max(1, demand / share()) / USUAL_FILL;
                    capacity[i] = full * warmth(i);
                }
            }
        }

        /** A cold task falls over for all when too much is tried there, whoever refuses it: its lines stay under that. */
        private void capCold(List<Proxy> known, List<double[]> targets) {
            for (int i = 0; i < tasks; i++) {
                if (!live(i) || warmth(i) >= 1) {
                    continue;
                }
                double load = 0;
                for (int k = 0; k < known.size(); k++) {
                    load += known.get(k).ops * triesPerOp * targets.get(k)[i];
                }
                double most = COLD_FILL * capacity[i] * share();
                for (int k = 0; k < known.size() && load > most; k++) {
                    targets.get(k)[i] = Math.max(0.001, targets.get(k)[i] * most / load);
                }
            }
        }

        /** Levels: what the tasks can't carry is rejected at once, the op types of least benefit first. */
        private void levels() {
            if (set.levelKind() != Settings.LevelKind.SHARE || demand <= 0) {
                return;
            }
            double all = 0;
            double filled = 0;
            double reported = 0;
            for (int i = 0; i < tasks; i++) {
                all += capacity[i];
                if (capacity[i] > 0 && busy[i] >= 0) {
                    filled += capacity[i] * busy[i];
                    reported += capacity[i];
                }
            }
            double room = ADMIT_FILL * all * share() / demand;
            double want = filled > SHED_FILL * reported ? Math.max(LEVEL_LEAST, Math.min(1, room))
                    : Math.min(1, level * LEVEL_RISE);
            if (want < 1 && Math.abs(want - level) > LEVEL_STEP * level || want == 1 && level < 1) {
                level = want;
                channel.admit(level);
            }
        }

        private double badShare(int z, int i) {
            return bad[z][i] / (tries[z][i] + 2);
        }

        /** The table that a proxy keeps: its lines, with what left swapped for live tasks, drawn when it has none. */
        private double[] lineUp(Proxy p) {
            double[] target = new double[tasks];
            int count = 0;
            double sum = 0;
            for (int i = 0; i < tasks; i++) {
                if (live(i) && p.line(i) > 0) {
                    target[i] = p.line(i);
                    sum += target[i];
                    count++;
                }
            }
            p.swap.entrySet().removeIf(e -> !live(e.getValue()) || target[e.getKey()] <= 0);
            for (Map.Entry<Integer, Integer> e : p.swap.entrySet()) {
                // A cold task takes the line over as it warms: until then both stand.
                int from = e.getKey();
                int to = e.getValue();
                double most = target[from] * Math.min(1, capacity[to] / Math.max(1e-9, capacity[from]));
                target[to] = Math.max(target[to], Math.max(LINE_LEAST, most));
                if (warmth(to) >= 1) {
                    target[to] = Math.max(target[to], target[from]);
                    target[from] = 0;
                }
            }
            int wantedLines = Math.max(LINES_LEAST, set.standingLines());
            double each = count == 0 ? 0 : sum / count;
            while (count < wantedLines) {
                int i = draw(p, target);
                if (i < 0) {
                    break;
                }
                target[i] = each > 0 ? Math.max(LINE_LEAST, (1 - sum) / Math.max(1, wantedLines - count))
                        : capacity[i] * (zone[i] == p.zoneIndex ? 1 : 0.3);
                count++;
            }
            normalise(target);
            return target;
        }

        private int draw(Proxy p, double[] target) {
            double all = 0;
            for (int i = 0; i < tasks; i++) {
                all += drawWeight(p, target, i);
            }
            double at = chance() * all;
            for (int i = 0; i < tasks; i++) {
                double w = drawWeight(p, target, i);
                if (w > 0 && (at -= w) < 0) {
                    return i;
                }
            }
            return -1;
        }

        private double drawWeight(Proxy p, double[] target, int i) {
            return !live(i) || target[i] > 0 ? 0
                    : Math.max(ROOM_LEAST, 1 - planned[i] / Math.max(1e-9, capacity[i] * share())) * listed[i] * warmth(i) * (zone[i] == p.zoneIndex ? HOME_PULL : 1) * (1.02 - badShare(p.zoneIndex, i));
        }

        /** New and returned tasks take the most loaded line of a weight-drawn share of tables. */
        private void enter() {
            double allListed = 0;
            for (int i = 0; i < tasks; i++) {
                allListed += live(i) ? listed[i] : 0;
            }
            for (Proxy p : proxies.values()) {
                if (p.joined && !p.bound) {
                    // A table not known yet may name what returned cold: it stays withdrawn until all are known.
                    return;
                }
            }
            enterIdle();
            for (int e : entrants) {
                if (!live(e)) {
                    continue;
                }
                channel.withdraw(e, false);
                entered[e] = now;
                for (Proxy p : proxies.values()) {
                    if (!p.joined || !p.bound || p.line(e) > 0) {
                        continue;
                    }
                    int count = 0;
                    int most = -1;
                    for (int i = 0; i < tasks; i++) {
                        if (live(i) && p.line(i) > 0) {
                            count++;
                            if (!p.swap.containsKey(i) && (most < 0 || fill(i) > fill(most))) {
                                most = i;
                            }
                        }
                    }
                    double home = zone[e] == p.zoneIndex ? 2 : 0.5;
                    if (most >= 0 && chance() < home * count * listed[e] / allListed) {
                        p.swap.put(most, e);
                    }
                }
            }
            entrants.clear();
        }

        /** A task that chance left out of most tables is idle while others are full: it enters as a returned one does. */
        private void enterIdle() {
            double load = 0;
            double all = 0;
            for (int i = 0; i < tasks; i++) {
                load += live(i) ? total(i) : 0;
                all += capacity[i];
            }
            int idlest = -1;
            for (int i = 0; i < tasks; i++) {
                if (live(i) && warmth(i) >= 1 && now - entered[i] > ENTER_AGAIN && allBad(i) < CALM * (allTries(i) + 2)
                        && fill(i) < IDLE_FILL * load / all && (idlest < 0 || fill(i) < fill(idlest))) {
                    idlest = i;
                }
            }
            if (idlest >= 0 && !entrants.contains(idlest)) {
                entrants.add(idlest);
            }
        }

        private double fill(int i) {
            return total(i) / Math.max(1e-9, capacity[i]);
        }

        /** Weights of the lines: ops flow to where the next one loses least, crossing zones at its price. */
        private void weigh(List<Proxy> known, List<double[]> targets) {
            double[] load = new double[tasks];
            for (int i = 0; i < tasks; i++) {
                load[i] = Math.max(0, total(i) - rate[i]);
            }
            for (int k = 0; k < known.size(); k++) {
                for (int i = 0; i < tasks; i++) {
                    load[i] += known.get(k).ops * targets.get(k)[i];
                }
            }
            for (int round = 0; round < WEIGHING_ROUNDS; round++) {
                double steep = 1;
                for (int i = 0; i < tasks; i++) {
                    if (capacity[i] > 0) {
                        double f = Math.min(1.2, load[i] / capacity[i]);
                        steep = Math.max(steep, LOSS_POWER * (LOSS_POWER + 1) * Math.pow(f, LOSS_POWER) / 2);
                    }
                }
                double step = 0.5 / steep;
                for (int k = 0; k < known.size(); k++) {
                    Proxy p = known.get(k);
                    double[] t = targets.get(k);
                    double[] price = new double[tasks];
                    double mean = 0;
                    for (int i = 0; i < tasks; i++) {
                        if (t[i] > 0) {
                            double f = Math.min(1.2, load[i] / Math.max(1e-9, capacity[i]));
                            price[i] = (LOSS_POWER + 1) * Math.pow(f, LOSS_POWER) / 2
                                    + (zone[i] == p.zoneIndex ? 0 : set.crossZonePrice())
                                    + FAIL_PRICE * badShare(p.zoneIndex, i);
                            mean += t[i] * price[i];
                        }
                    }
                    for (int i = 0; i < tasks; i++) {
                        load[i] -= p.ops * t[i];
                        if (t[i] > 0) {
                            t[i] = Math.max(LINE_LEAST, t[i] * Math.exp(-step * (price[i] - mean)));
                        }
                    }
                    normalise(t);
                    for (int i = 0; i < tasks; i++) {
                        load[i] += p.ops * t[i];
                    }
                }
            }
        }

        /** Rounds of moves: sorted by potential time, then traffic, each admitted only where its targets have room. */
        private void rounds(List<Proxy> known, List<double[]> targets) {
            moving.removeIf(f -> now - f.at > SHOWS_AFTER);
            double[] room = headroom();
            List<Move> moves = new ArrayList<>();
            for (int k = 0; k < known.size(); k++) {
                Proxy p = known.get(k);
                if (urgent.contains(p)) {
                    continue;
                }
                aimAtRoom(p, targets.get(k), room);
                double change = 0;
                for (int i = 0; i < tasks; i++) {
                    change += Math.abs(targets.get(k)[i] - p.line(i)) / 2;
                }
                boolean entry = false;
                for (int to : p.swap.values()) {
                    entry |= p.line(to) <= 0 || warmth(to) >= 1;
                }
                if (change >= MOVE_LEAST || entry) {
                    moves.add(new Move(p, targets.get(k)));
                }
            }
            if (moves.isEmpty()) {
                return;
            }
            for (Move m : moves) {
                potential(m, moves, room);
            }
            moves.sort(Comparator.<Move>comparingDouble(m -> -m.potential).thenComparingDouble(m -> -m.proxy.ops)
                    .thenComparingInt(m -> m.proxy.id.number()));
            boolean admitted = false;
            for (Move m : moves) {
                if (channel.roomForRoutine(m.proxy) && fits(m, room, 1)) {
                    take(m, room, 1);
                    send(m, 1);
                    admitted = true;
                }
            }
            boolean awaiting = false;
            for (Freed f : moving) {
                awaiting |= !f.answered && now - f.at < CREDIT_WAIT;
            }
            if (admitted || awaiting) {
                return;
            }
            // Deadlock: the move that yields least goes with the part that fits.
            Move least = null;
            double leastRatio = 1;
            for (Move m : moves) {
                double ratio = yieldRatio(m, room);
                if (ratio < leastRatio && channel.roomForRoutine(m.proxy)) {
                    least = m;
                    leastRatio = ratio;
                }
            }
            if (least != null) {
                take(least, room, 1 - leastRatio);
                send(least, 1 - leastRatio);
            }
        }

        /** A full task keeps its line as it is, and the others give no more than what the rest can take. */
        private void aimAtRoom(Proxy p, double[] target, double[] room) {
            double up = 0;
            double downBy = 0;
            for (int i = 0; i < tasks; i++) {
                double by = target[i] - p.line(i);
                if (by > 0 && room[i] <= 0) {
                    target[i] = p.line(i);
                } else if (by > 0) {
                    up += by;
                } else {
                    downBy -= by;
                }
            }
            for (int i = 0; i < tasks && downBy > up; i++) {
                if (target[i] < p.line(i)) {
                    target[i] = p.line(i) - (p.line(i) - target[i]) * up / downBy;
                }
            }
        }

        private double[] headroom() {
            double[] room = new double[tasks];
            double all = 0;
            double allCapacity = 0;
            double[] standing = new double[tasks];
            for (Proxy p : proxies.values()) {
                for (int i = 0; p.bound && i < tasks; i++) {
                    standing[i] += p.ops * p.line(i);
                }
            }
            for (int i = 0; i < tasks; i++) {
                if (live(i)) {
                    all += total(i);
                    allCapacity += capacity[i];
                }
            }
            for (int i = 0; i < tasks; i++) {
                if (live(i)) {
                    double load = heardSince[i] >= 0 ? total(i) : standing[i];
                    room[i] = (capacity[i] / allCapacity * all / FILL - load) * share();
                }
            }
            for (Freed f : moving) {
                boolean credited = f.answered || now - f.at >= CREDIT_WAIT;
                for (int j = 0; j < f.at0.length; j++) {
                    if (f.part[j] > 0 || credited) {
                        room[f.at0[j]] -= f.part[j];
                    }
                }
            }
            return room;
        }

        private boolean fits(Move m, double[] room, double share) {
            for (int i = 0; i < tasks; i++) {
                double part = m.part(i) * share;
                if (part > 1e-6 && part > room[i]) {
                    return false;
                }
            }
            return true;
        }

        private void take(Move m, double[] room, double share) {
            for (int i = 0; i < tasks; i++) {
                room[i] -= Math.max(0, m.part(i) * share);
            }
        }

        private double yieldRatio(Move m, double[] room) {
            double traffic = 0;
            double least = Double.MAX_VALUE;
            for (int i = 0; i < tasks; i++) {
                if (m.part(i) > 1e-6) {
                    traffic = Math.max(traffic, m.part(i));
                    least = Math.min(least, room[i] / m.part(i));
                }
            }
            return traffic <= 0 ? 1 : 1 - Math.min(1, least);
        }

        /** A move's own time and the deepest of the moves that wait for room where it frees some. */
        private double potential(Move m, List<Move> moves, double[] room) {
            if (m.open) {
                return CYCLE;
            }
            if (m.potential >= 0) {
                return m.potential;
            }
            m.open = true;
            double deepest = 0;
            for (Move w : moves) {
                if (w != m && waitsFor(w, m, room)) {
                    deepest = Math.max(deepest, potential(w, moves, room));
                }
            }
            m.open = false;
            m.potential = Math.min(CYCLE, m.ownTime() + deepest);
            return m.potential;
        }

        private boolean waitsFor(Move w, Move m, double[] room) {
            for (int i = 0; i < tasks; i++) {
                if (m.part(i) < -1e-6 && w.part(i) > 1e-6 && w.part(i) > room[i]) {
                    return true;
                }
            }
            return false;
        }

        /** Orders a move, or the given share of it, and books the load that it shifts. */
        private void send(Move m, double share) {
            Proxy p = m.proxy;
            double[] next = new double[tasks];
            int[] where = new int[tasks];
            double[] part = new double[tasks];
            int n = 0;
            for (int i = 0; i < tasks; i++) {
                double want = live(i) ? p.line(i) + share * (m.target[i] - p.line(i)) : 0;
                want = Math.round(want * 1000) / 1000.0;
                next[i] = p.line(i);
                if (differs(want, p.line(i))) {
                    channel.line(p, i, want);
                    next[i] = want;
                    where[n] = i;
                    part[n++] = p.ops * (want - (p.bound ? p.line(i) : 0));
                }
            }
            p.lines = next;
            if (share >= 1) {
                p.swap.values().removeIf(to -> warmth(to) >= 1);
            }
            if (!p.bound) {
                p.bound = true;
                p.wanted = false;
                channel.bind(p);
            } else if (n == 0) {
                return;
            }
            Freed f = new Freed(channel.mark(), now, Arrays.copyOf(where, n), Arrays.copyOf(part, n));
            p.freed.add(f);
            moving.add(f);
        }

        private void normalise(double[] t) {
            double sum = 0;
            for (double w : t) {
                sum += w;
            }
            for (int i = 0; i < t.length && sum > 0; i++) {
                t[i] /= sum;
            }
        }
    }

    // ---- The channel: what goes out, how much may wait, and what was answered.

    private final class Channel {
        private final ArrayList<Order> first = new ArrayList<>();
        private final ArrayList<Order> lines = new ArrayList<>();
        private final ArrayList<Order> binds = new ArrayList<>();
        private final ArrayList<Order> others = new ArrayList<>();
        private final TreeMap<Integer, Integer> touched = new TreeMap<>();
        private int mark = 1;
        private long emptyAt;
        private boolean retriesSet;

        int mark() {
            return mark;
        }

        void other(Order order) {
            others.add(order);
        }

        void withdraw(int i, boolean leaves) {
            if (!leaves && !out[i]) {
                return;
            }
            out[i] = leaves;
            first.add(new Order.Withdraw(task[i].id, leaves));
            for (Proxy p : proxies.values()) {
                if (p.joined && (!p.bound || p.line(i) > 0)) {
                    touched.merge(p.id.number(), 1, Integer::sum);
                }
            }
        }

        void line(Proxy p, int i, double weight) {
            lines.add(new Order.SetLine(p.table(), task[i].id, weight));
            if (p.bound) {
                touched.merge(p.id.number(), 1, Integer::sum);
            }
        }

        void bind(Proxy p) {
            binds.add(new Order.Bind(p.table(), p.id, 0));
            int count = 3;
            for (double w : p.lines) {
                count += w > 0 ? 1 : 0;
            }
            touched.merge(p.id.number(), count, Integer::sum);
        }

        private int recent(Proxy p) {
            while (!p.messages.isEmpty() && now - p.messages.peek() > set.messagesOver()) {
                p.messages.poll();
            }
            return p.messages.size();
        }

        boolean roomForUrgent(Proxy p) {
            return set.messagesMost() == 0 || recent(p) < set.messagesMost() - 2;
        }

        /** Routine orders leave most of the channel and of a proxy's messages to drains and empty tables. */
        boolean roomForRoutine(Proxy p) {
            double slowRate = set.linesPerSecond() / CHANNEL_SLOW;
            double queued = Math.max(0, emptyAt - now) * slowRate / Tenths.SECOND;
            for (int n : touched.values()) {
                queued += n + set.messageHead();
            }
            return queued < ROUTINE_LINES * set.backlogLines()
                    && (set.messagesMost() == 0 || recent(p) < ROUTINE_MESSAGES * set.messagesMost());
        }

        /** Ways of trying again stand with the level: on proof that no try ran, and never when there is too much. */
        void admit(double level) {
            double value = set.levelKind() == Settings.LevelKind.RATE ? 1e6 : level;
            first.add(new Order.Admit(Order.EVERY_TABLE, 0,
                    level < 1 ? Order.Retry.NEVER : Order.Retry.ON_PROOF, value));
            for (Proxy p : proxies.values()) {
                if (p.joined) {
                    touched.merge(p.id.number(), 1, Integer::sum);
                }
            }
        }

        List<Order> flush() {
            if (!retriesSet) {
                retriesSet = true;
                admit(1);
            }
            List<Order> orders = new ArrayList<>(others);
            orders.addAll(first);
            orders.addAll(lines);
            orders.addAll(binds);
            if (!touched.isEmpty()) {
                orders.add(new Order.Mark(new MarkId(mark), false));
                mark = mark % 65_000 + 1;
                long queued = 0;
                for (Map.Entry<Integer, Integer> t : touched.entrySet()) {
                    queued += t.getValue() + 1 + set.messageHead();
                    proxies.get(t.getKey()).messages.add(now);
                }
                double slowRate = set.linesPerSecond() / CHANNEL_SLOW;
                emptyAt = Math.max(emptyAt, now) + (long) (queued * Tenths.SECOND / slowRate);
            }
            others.clear();
            first.clear();
            lines.clear();
            binds.clear();
            touched.clear();
            return orders;
        }
    }
}
