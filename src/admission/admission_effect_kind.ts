/** The kinds of action that an admission step requests from the runtime. */
export enum AdmissionEffectKind {
  Decide = "decide",
  Probe = "probe",
  RecordAuditEntry = "record-audit-entry",
}
