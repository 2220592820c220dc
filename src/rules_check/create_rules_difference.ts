import { differenceEffects } from "./difference_effects.ts";
import type { RulesDifference } from "./rules_difference.ts";
import type { RulesDifferenceKind } from "./rules_difference_kind.ts";

/** Creates a difference with the effect of its kind on callers. */
export function createRulesDifference(
  kind: RulesDifferenceKind,
  details: Pick<RulesDifference, "path" | "fields">,
): RulesDifference {
  return { kind, ...details, effect: differenceEffects[kind] };
}
