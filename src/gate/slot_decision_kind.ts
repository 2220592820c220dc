/** How the admission answered a call. */
export enum SlotDecisionKind {
  Granted = "granted",
  Queued = "queued",
  Refused = "refused",
}
