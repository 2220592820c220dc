/** How a call ended towards its caller. */
export enum CallEndKind {
  Answered = "answered",
  Refused = "refused",
}
