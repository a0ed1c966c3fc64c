package stonespring.daemon;

/**
 * The instance's clock, whole tenths of a millisecond that never go back: it starts at the wall clock's time and then
 * follows the monotonic one, so that a wall clock that is set does not move the instance's time.
 */
public final class InstanceClock {
    private static final long FIRST = 10_000; // 0.1 ms; 0 means long ago in the list's times of start

    private final long nanosAtStart = System.nanoTime();

    /** The wall clock's tenths at which this clock stood at 0, less the second that it starts with. */
    private final long unixOffset = System.currentTimeMillis() * 10 - FIRST;

    public long now() {
        return FIRST + (System.nanoTime() - nanosAtStart) / 100_000;
    }

    /** What is taken off a wall clock's time, in tenths of a millisecond, for a time of this clock. */
    public long unixOffset() {
        return unixOffset;
    }
}
