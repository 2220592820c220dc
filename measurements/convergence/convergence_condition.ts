/** What goes on while a version spreads. */
export enum ConvergenceCondition {
  AtRest = "at rest",
  UnderLoad = "under call load",
  PlatformOutage = "platform cut right after publishing",
  MassRestart = "three quarters of the nodes restarting",
}
