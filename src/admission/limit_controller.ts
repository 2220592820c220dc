/** How the limit of a backend server that is ready follows what its calls show. */
export enum LimitController {
  /** Stays at the registered slots. */
  Fixed = "fixed",
  /** Rises by one for each full round of answers and falls by a factor on overload. */
  AdditiveIncrease = "additive-increase",
  /** Remembers its last step, and takes back a raise that a shed followed. */
  StepBack = "step-back",
}
