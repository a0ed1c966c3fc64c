package stonespring.daemon;

/**
 * What an instance's decisions ask of the list of tasks; calls come from the loop that drives it.
 */
public interface EndpointListRequests {
  /** Follows the list of tasks, or stops to; the answer comes as a list event, good or bad. */
  void followList(boolean on);

  /** Asks for the whole list once. */
  void fetchList();
}
