import type { Organisation } from "../organisations/organisation.ts";
import type { Rules } from "../routing/rules.ts";
import { createRulesDifference } from "./create_rules_difference.ts";
import type { RulesDifference } from "./rules_difference.ts";
import { RulesDifferenceKind } from "./rules_difference_kind.ts";

/**
 * Returns a difference for each organisation of both versions that loses keys,
 * with their number.
 */
export function listWithdrawnKeys(
  before: Rules,
  after: Rules,
): readonly RulesDifference[] {
  const accepted = new Set(
    Array.from(after.organisations.values())
      .flatMap(({ keyHashes }) => keyHashes),
  );
  return Array.from(after.organisations.values()).flatMap((organisation) => {
    const previous = before.organisations.get(organisation.name);
    const count = countWithdrawnKeys(previous, accepted);
    return count === 0 ? [] : [createRulesDifference(
      RulesDifferenceKind.KeysWithdrawn,
      { path: `organisations.${organisation.name}`, fields: [`${count} keys`] },
    )];
  });
}

/** A key that another organisation takes over is still accepted. */
function countWithdrawnKeys(
  before: Organisation | undefined,
  accepted: ReadonlySet<string>,
): number {
  return (before?.keyHashes ?? []).filter((hash) => !accepted.has(hash)).length;
}
