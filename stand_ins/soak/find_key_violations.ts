import { soakKeys } from "./soak_keys.ts";
import type { SoakCall } from "./soak_call.ts";
import type { SoakRecord } from "./soak_record.ts";
import type { SoakRun } from "./soak_run.ts";
import type { SoakViolation } from "./soak_violation.ts";
import { withdrawalMilliseconds } from "./withdrawal_milliseconds.ts";

const unauthorizedStatus = 401;

/**
 * Finds keys that were accepted after their withdrawal, passed on or refused
 * although every version has them, and organisations that are not those of the
 * keys. No fault excuses a node.
 */
export function findKeyViolations(
  record: SoakRecord,
): readonly SoakViolation[] {
  return [
    ...record.runs.flatMap((run) => findRunViolations(run, record)),
    ...Array.from(record.calls.values())
      .filter(({ key, status }) =>
        key === soakKeys.lasting && status === unauthorizedStatus
      )
      .map(({ identifier }) => ({
        promise: "A key that every version has is never unknown",
        found: identifier,
      })),
  ];
}

function findRunViolations(
  run: SoakRun,
  record: SoakRecord,
): readonly SoakViolation[] {
  const call = record.calls.get(run.callIdentifier);
  if (call === undefined) return [];
  const withdrawnAt = record.withdrawnAt.get(call.key ?? "");
  const lateMilliseconds = withdrawnAt === undefined
    ? 0
    : call.sentAt - withdrawnAt - withdrawalMilliseconds;
  const found = `${call.identifier} at ${run.server}`;
  return [
    ...(lateMilliseconds > 0
      ? [{
        promise: "No node accepts a withdrawn key",
        found: `${found} with ${call.key}, ${lateMilliseconds} ms too late`,
      }]
      : []),
    ...(run.hasKey === true
      ? [{ promise: "No backend server receives a key", found }]
      : []),
    ...(run.organisation === getOrganisation(call) ? [] : [{
      promise: "A backend server receives the organisation of the key",
      found: `${found}: ${run.organisation}`,
    }]),
  ];
}

function getOrganisation({ key }: SoakCall): string | undefined {
  if (key === undefined) return undefined;
  return key === soakKeys.lasting
    ? soakKeys.lastingOrganisation
    : soakKeys.changingOrganisation;
}
