package stonespring.testbed;

/** Starts a fault of one kind and schedules its end; called on the scenario's thread. */
interface FaultInjection {
  void inject(FaultTarget target) throws Exception;
}
