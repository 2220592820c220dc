/** One command of the checks. */
export interface CheckStep {
  readonly name: string;
  readonly program: string;
  readonly parameters: readonly string[];
}
