package stonespring.daemon;

import java.util.List;
import stonespring.state.Update;

/** What the core of an instance has done outside; calls come from the loop that drives it. */
public interface Outside {
    /** Tells all fronts. */
    void publish(List<Update> updates);

    /** Follows the list of tasks, or stops to; the answer comes as a list event, good or bad. */
    void followList(boolean on);

    /** Asks for the whole list once. */
    void fetchList();
}
