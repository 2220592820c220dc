import type { DiagnosticCategory } from "./diagnostic_category.ts";

/** The category and message template of a diagnostic code. */
export interface DiagnosticDefinition {
  readonly category: DiagnosticCategory;
  /** The message, with the placeholders `{path}`, `{found}` and `{allowed}`. */
  readonly template: string;
}
