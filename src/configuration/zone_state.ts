/** Whether the operators allow new calls to an availability zone. */
export enum ZoneState {
  InService = "in-service",
  TakenOut = "taken-out",
}
