import { FindingSeverity } from "./finding_severity.ts";
import { RulesFindingKind } from "./rules_finding_kind.ts";

const { Error, Warning } = FindingSeverity;

/** The severity of each kind of finding. */
export const findingSeverities: Readonly<
  Record<RulesFindingKind, FindingSeverity>
> = {
  [RulesFindingKind.Undecodable]: Error,
  [RulesFindingKind.VersionNotHigher]: Error,
  [RulesFindingKind.RouteHidden]: Error,
  [RulesFindingKind.RouteWithoutWeight]: Error,
  [RulesFindingKind.ServiceUnknown]: Error,
  [RulesFindingKind.TargetWithoutWeight]: Warning,
  [RulesFindingKind.ServiceUnused]: Warning,
  [RulesFindingKind.ServiceWithoutServers]: Warning,
  [RulesFindingKind.TimeoutBelowGoal]: Warning,
  [RulesFindingKind.AttemptsBeyondTimeout]: Warning,
  [RulesFindingKind.IdleBelowHeader]: Warning,
  [RulesFindingKind.QuotaWithoutBurst]: Warning,
  [RulesFindingKind.QuotaAboveCapacity]: Warning,
};
