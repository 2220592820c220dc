import type { DiagnosticCategory } from "./diagnostic_category.ts";

/** The fixed part of a diagnostic. */
export interface DiagnosticDefinition {
  readonly category: DiagnosticCategory;
  /** The message, with `{path}`, `{found}` and `{allowed}` where the details go. */
  readonly template: string;
}
