/** What the admission asks its runtime to do. */
export enum AdmissionEffectKind {
  Decide = "decide",
  Probe = "probe",
  RecordAuditEntry = "record-audit-entry",
}
