/** What can happen to a key in a ledger. */
export enum LedgerEventKind {
  /** A call with the key wants to run here. */
  Requested = "requested",
  /** Another ledger answered the question about the key. */
  Answered = "answered",
  /** Another ledger gave no answer. */
  Unanswered = "unanswered",
  /** Another owner asks about the key and fences it here. */
  Asked = "asked",
  /** The call that the ledger allowed, or that waits for it, has ended. */
  Concluded = "concluded",
}
