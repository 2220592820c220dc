/** How a modelled backend server treats a request. */
export enum ModelledTreatment {
  /** It runs the request and answers with success. */
  Success = "success",
  /** It runs the request and its answer is lost with the connection. */
  Lost = "lost",
  /** It rejects the request and states that it did not run it. */
  ConfirmedRejection = "confirmed-rejection",
  /** It runs the request, and answers with a rejection without that statement. */
  UnconfirmedRejection = "unconfirmed-rejection",
}
