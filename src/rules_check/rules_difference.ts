import type { RulesDifferenceKind } from "./rules_difference_kind.ts";

/** One difference between the version in force and the next one. */
export interface RulesDifference {
  readonly kind: RulesDifferenceKind;
  /** The part of the rules, for example `organisations.bakery`. */
  readonly path: string;
  /**
   * Names of the fields that differ, or the number of withdrawn keys as a text;
   * empty if the part was added or removed.
   */
  readonly fields: readonly string[];
  /** What callers notice first. */
  readonly effect: string;
}
