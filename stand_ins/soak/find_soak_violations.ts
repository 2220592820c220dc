import { groupBy } from "../../src/collections/group_by.ts";
import type { SoakCall } from "./soak_call.ts";
import type { SoakRecord } from "./soak_record.ts";
import type { SoakRun } from "./soak_run.ts";
import type { SoakViolation } from "./soak_violation.ts";

/** Statuses that promise that a request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const notFoundStatus = 404;

/** Checks the promises against what callers and backend servers saw. */
export function findSoakViolations(
  record: SoakRecord,
): readonly SoakViolation[] {
  const calls = Array.from(record.calls.values());
  const runs = groupBy(record.runs, ({ callIdentifier }) => callIdentifier);
  return [
    ...calls.flatMap((call) =>
      judgeCall(call, runs.get(call.identifier) ?? [])
    ),
    ...record.runs.flatMap((run) => judgeRun(run, record)),
    ...findRegressions(calls),
    ...findLateVersions(calls, record),
  ];
}

function judgeCall(
  call: SoakCall,
  runs: readonly SoakRun[],
): readonly SoakViolation[] {
  const found = `${call.identifier} ${call.url} ended with ${call.status}`;
  const status = call.status ?? 0;
  const isSuccess = status >= 200 && status < 300;
  return [
    ...(!call.idempotent && runs.length > 1
      ? [{
        promise: "A non-idempotent request runs at most once",
        found: `${found} after ${runs.length} runs`,
      }]
      : []),
    ...(!call.idempotent && notRunStatuses.has(status) && runs.length > 0
      ? [{ promise: "A refusal that says not run is true", found }]
      : []),
    ...(isSuccess && !call.whole
      ? [{
        promise: "A caller receives the whole answer to its own request",
        found,
      }]
      : []),
    ...(isSuccess && runs.length === 0
      ? [{ promise: "An answer comes from a backend server", found }]
      : []),
  ];
}

function judgeRun(
  run: SoakRun,
  record: SoakRecord,
): readonly SoakViolation[] {
  const call = record.calls.get(run.callIdentifier);
  const found = `${run.callIdentifier} ${run.url} at ${run.service}`;
  if (call === undefined || call.url !== run.url) {
    return [{ promise: "Only what a caller sent runs, unchanged", found }];
  }
  return call.callerService === run.callerService ? [] : [{
    promise: "A backend server learns where the request began",
    found: `${found}: ${run.callerService} instead of ${call.callerService}`,
  }];
}

/** A route that a process has served is never unknown to it afterwards. */
function findRegressions(
  calls: readonly SoakCall[],
): readonly SoakViolation[] {
  const ofOneLife = groupBy(
    calls.filter(({ status }) => status !== undefined && status > 0),
    ({ vm, life, url }) => `VM ${vm} life ${life} ${url.split("/")[1]}`,
  );
  return Array.from(ofOneLife).flatMap(([name, group]) => {
    const served = group.findIndex(({ status }) => status === 200);
    const unknown = group.findLastIndex(({ status }) =>
      status === notFoundStatus
    );
    return served >= 0 && unknown > served
      ? [{ promise: "No node returns to an older version", found: name }]
      : [];
  });
}

/** A route of the newest version that a node does not know although it has had its time. */
function findLateVersions(
  calls: readonly SoakCall[],
  { settledAt }: SoakRecord,
): readonly SoakViolation[] {
  return calls
    .filter(({ status, sentAt }) =>
      status === notFoundStatus && sentAt >= settledAt
    )
    .map(({ vm, url, sentAt }) => ({
      promise: "A change is in force everywhere within seconds",
      found: `VM ${vm} does not know ${url}, ${sentAt - settledAt} ms late`,
    }));
}
