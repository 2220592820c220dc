import type { Rules } from "../routing/rules.ts";
import { findLimitFindings } from "./find_limit_findings.ts";
import { findOrganisationFindings } from "./find_organisation_findings.ts";
import { findRouteFindings } from "./find_route_findings.ts";
import { findServiceFindings } from "./find_service_findings.ts";
import type { RegisteredSlots } from "./registered_slots.ts";
import type { RulesFinding } from "./rules_finding.ts";
import { RulesFindingKind } from "./rules_finding_kind.ts";

/**
 * Checks decoded rules before they are published. With `inForce`, the version
 * must be higher; with `slots`, services and quotas are compared with the
 * register.
 */
export function checkRules(
  rules: Rules,
  options: {
    readonly inForce?: Rules;
    readonly slots?: RegisteredSlots;
  } = {},
): readonly RulesFinding[] {
  const { inForce, slots } = options;
  const isHigher = inForce === undefined || rules.version > inForce.version;
  const versionFindings = isHigher ? [] : [{
    kind: RulesFindingKind.VersionNotHigher,
    path: "version",
    detail:
      `Version ${rules.version} is not higher than version ${inForce.version} in force`,
  }];
  return [
    ...versionFindings,
    ...findRouteFindings(rules),
    ...findServiceFindings(rules, slots),
    ...findLimitFindings(rules),
    ...findOrganisationFindings(rules, slots),
  ];
}
