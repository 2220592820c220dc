/** Policies for choosing among the backend servers that may receive a call. */
export enum ChoicePolicy {
  /**
   * Of two picked at random, the one with more free slots. Picks in the node's
   * own zone while a backend server there has free slots.
   */
  TwoChoicesByFreeSlots = "two-choices-by-free-slots",
  /** One picked at random over all zones: the baseline for measurements. */
  Random = "random",
}
