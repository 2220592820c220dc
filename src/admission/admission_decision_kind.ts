/** The ways in which an admission request ends. */
export enum AdmissionDecisionKind {
  Admitted = "admitted",
  Refused = "refused",
}
