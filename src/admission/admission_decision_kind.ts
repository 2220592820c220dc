/** The possible decisions on an admission request. */
export enum AdmissionDecisionKind {
  Admitted = "admitted",
  Refused = "refused",
}
