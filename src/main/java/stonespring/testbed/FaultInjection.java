package stonespring.testbed;

/** Brings about one kind of fault and schedules its end; called on the run's thread. */
interface FaultInjection {
  void inject(FaultTarget target) throws Exception;
}
