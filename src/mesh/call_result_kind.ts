/** How a call ended towards its caller. */
export enum CallResultKind {
  Answered = "answered",
  Refused = "refused",
}
