/** Whether the operators let an availability zone take new work. */
export enum ZoneState {
  InService = "in-service",
  TakenOut = "taken-out",
}
