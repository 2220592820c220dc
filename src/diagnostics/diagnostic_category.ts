/** The severity of a diagnostic. */
export enum DiagnosticCategory {
  Error = "error",
  Warning = "warning",
}
