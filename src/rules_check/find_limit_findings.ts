import type { Rules } from "../routing/rules.ts";
import type { RulesFinding } from "./rules_finding.ts";
import { RulesFindingKind } from "./rules_finding_kind.ts";

/** Finds limits on callers' connections that contradict each other. */
export function findLimitFindings({ limits }: Rules): readonly RulesFinding[] {
  const { idleMilliseconds, headerMilliseconds } = limits;
  if (idleMilliseconds >= headerMilliseconds) return [];
  return [{
    kind: RulesFindingKind.IdleBelowHeader,
    path: "limits",
    detail:
      `The idle limit of ${idleMilliseconds} ms is below the header limit of ${headerMilliseconds} ms`,
  }];
}
