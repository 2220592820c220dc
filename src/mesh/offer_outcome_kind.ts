/** The outcome of an offered call. */
export enum OfferOutcomeKind {
  /** The backend server answered. */
  Answered = "answered",
  /** The call did not run and will not. */
  Refused = "refused",
  /** The call may have run. */
  Lost = "lost",
}
