/** The kind of response that a caller receives. */
export enum CallResultKind {
  Answered = "answered",
  Refused = "refused",
}
