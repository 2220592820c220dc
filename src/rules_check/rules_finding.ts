import type { RulesFindingKind } from "./rules_finding_kind.ts";

/** One finding of a check of rules. */
export interface RulesFinding {
  readonly kind: RulesFindingKind;
  /** The part of the rules, for example `routes.cakes`. */
  readonly path: string;
  /** What was found there, as a sentence without a period. */
  readonly detail: string;
}
