/** The algorithm that adjusts the limit of a ready backend server to the results of its calls. */
export enum LimitController {
  /** Keeps the limit at the registered slots. */
  Fixed = "fixed",
  /**
   * Raises the limit by one for each round of answers at the limit and
   * multiplies it by a factor on overload.
   */
  AdditiveIncrease = "additive-increase",
  /**
   * Raises the limit by one after a period in which calls reached it without
   * overload, and reverts a raise that overload follows. Other overload
   * multiplies the limit by a factor.
   */
  StepBack = "step-back",
}
