/** The kinds of decision of a gate on a call. */
export enum SlotDecisionKind {
  Granted = "granted",
  Queued = "queued",
  Refused = "refused",
}
