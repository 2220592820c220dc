/** The condition of a deployment while a version propagates. The values appear in the result pages. */
export enum ConvergenceCondition {
  AtRest = "at rest",
  UnderLoad = "under call load",
  PlatformOutage = "platform cut right after publishing",
  MassRestart = "three quarters of the nodes restarting",
}
