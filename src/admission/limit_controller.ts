/** How the limit of a backend server that is ready follows what its calls show. */
export enum LimitController {
  /** Stays at the registered slots. */
  Fixed = "fixed",
  /** Rises by one for each full round of answers and falls by a factor on overload. */
  AdditiveIncrease = "additive-increase",
  /** Judges its last step by latency and shed rate, and takes back a step that did not help. */
  StepBack = "step-back",
}
