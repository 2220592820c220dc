/** A command that the checks run. */
export interface CheckStep {
  /** Name of the step in the output of the checks. */
  readonly name: string;
  readonly program: string;
  /** Command-line arguments of the program. */
  readonly parameters: readonly string[];
}
