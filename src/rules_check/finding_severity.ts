/** Whether rules with a finding may be published. */
export enum FindingSeverity {
  /** Calls fail or get a service that is not meant, or nodes refuse the rules. */
  Error = "error",
  /** The rules can be published, but a part of them is without effect or contradicts another. */
  Warning = "warning",
}
