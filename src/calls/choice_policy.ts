/** Policies for choosing among the backend servers that may receive a call. */
export enum ChoicePolicy {
  /**
   * The one with more free slots of two picked at random, in the own zone while
   * it has free slots.
   */
  TwoChoicesByFreeSlots = "two-choices-by-free-slots",
  /** One picked at random over all zones: the baseline for measurements. */
  Random = "random",
}
