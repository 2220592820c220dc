/** The phases of a run in which an availability zone is taken out and returned. The values appear in the result pages. */
export enum ServicePhase {
  Before = "all zones in service",
  TakenOut = "one zone taken out",
  Returned = "zone returned cold",
}
