/** What became of an offered call. */
export enum OfferOutcomeKind {
  /** The backend server answered. */
  Answered = "answered",
  /** It did not run and will not. */
  Refused = "refused",
  /** It may have run. */
  Lost = "lost",
}
