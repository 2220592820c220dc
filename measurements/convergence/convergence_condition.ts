/** What goes on while a version spreads. */
export enum ConvergenceCondition {
  AtRest = "at rest",
  UnderLoad = "under call load",
  PlatformCut = "platform cut right after publishing",
  HerdRestart = "three quarters of the nodes restarting",
}
