import type { Rules } from "../routing/rules.ts";
import { createRulesDifference } from "./create_rules_difference.ts";
import type { RulesDifference } from "./rules_difference.ts";
import { RulesDifferenceKind } from "./rules_difference_kind.ts";

/**
 * Returns a difference if calls begin or cease to need a key. They need one as
 * soon as there is an organisation.
 */
export function listKeyRequirementChanges(
  before: Rules,
  after: Rules,
): readonly RulesDifference[] {
  const wereRequired = before.organisations.size > 0;
  const areRequired = after.organisations.size > 0;
  if (wereRequired === areRequired) return [];
  const kind = areRequired
    ? RulesDifferenceKind.KeysRequired
    : RulesDifferenceKind.KeysNotRequired;
  return [createRulesDifference(kind, { path: "organisations", fields: [] })];
}
