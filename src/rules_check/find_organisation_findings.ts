import type { Rules } from "../routing/rules.ts";
import type { RegisteredSlots } from "./registered_slots.ts";
import type { RulesFinding } from "./rules_finding.ts";
import { RulesFindingKind } from "./rules_finding_kind.ts";

const millisecondsPerSecond = 1_000;
/** Share of the goal of its route that each call is assumed to take at least. */
const goalShareMinimum = 0.1;

/** Finds quotas that admit nothing at once or, with a register, that no capacity can meet. */
export function findOrganisationFindings(
  rules: Rules,
  slots: RegisteredSlots | undefined,
): readonly RulesFinding[] {
  const limited = Array.from(rules.organisations.values())
    .filter(({ callsPerSecond }) => callsPerSecond > 0);
  const withoutBurst = limited
    .filter(({ burstCalls }) => burstCalls < 1)
    .map(({ name, burstCalls }) => ({
      kind: RulesFindingKind.QuotaWithoutBurst,
      path: `organisations.${name}`,
      detail: `A burst of ${burstCalls} admits no call at once`,
    }));
  if (slots === undefined) return withoutBurst;
  const capacity = Math.floor(getCapacityCallsPerSecond(rules, slots));
  const aboveCapacity = limited
    .filter(({ callsPerSecond }) => callsPerSecond > capacity)
    .map(({ name, callsPerSecond }) => ({
      kind: RulesFindingKind.QuotaAboveCapacity,
      path: `organisations.${name}`,
      detail:
        `${callsPerSecond} calls a second are more than the ${capacity} that the registered slots can run`,
    }));
  return [...withoutBurst, ...aboveCapacity];
}

/** Returns an upper bound of the calls a second that all services can run. */
function getCapacityCallsPerSecond(
  rules: Rules,
  slots: RegisteredSlots,
): number {
  return Array.from(slots).reduce((sum, [service, count]) => {
    const goals = rules.routes
      .filter(({ targets }) =>
        targets.some((target) => target.service === service)
      )
      .map(({ goalMilliseconds }) => goalMilliseconds);
    if (goals.length === 0) return sum;
    const fastest = Math.max(1, Math.min(...goals) * goalShareMinimum);
    return sum + count * millisecondsPerSecond / fastest;
  }, 0);
}
