/** How serious a diagnostic is. */
export enum DiagnosticCategory {
  Error = "error",
  Warning = "warning",
}
