/** The phases of a run in which an availability zone leaves and returns. */
export enum ServicePhase {
  Before = "all zones in service",
  TakenOut = "one zone taken out",
  Returned = "zone returned cold",
}
