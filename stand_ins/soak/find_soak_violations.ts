import { groupBy } from "../../src/collections/group_by.ts";
import { findCrashViolations } from "./find_crash_violations.ts";
import { findDepartureViolations } from "./find_departure_violations.ts";
import { findKeyViolations } from "./find_key_violations.ts";
import { findLimitViolations } from "./find_limit_violations.ts";
import type { SoakCall } from "./soak_call.ts";
import type { SoakRecord } from "./soak_record.ts";
import type { SoakRun } from "./soak_run.ts";
import type { SoakViolation } from "./soak_violation.ts";

/** Statuses that state that a request has not run and will not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const notFoundStatus = 404;
const addedRoutePattern = /^v\d+$/;

/** Returns the promises that were broken according to what callers and backend servers observed. */
export function findSoakViolations(
  record: SoakRecord,
): readonly SoakViolation[] {
  const calls = Array.from(record.calls.values());
  const runs = groupBy(record.runs, ({ callIdentifier }) => callIdentifier);
  return [
    ...calls.flatMap((call) =>
      findCallViolations(call, runs.get(call.identifier) ?? [])
    ),
    ...record.runs.flatMap((run) => findRunViolations(run, record)),
    ...findLimitViolations(record),
    ...findDepartureViolations(record),
    ...findCrashViolations(record),
    ...findKeyViolations(record),
    ...findVersionRegressions(calls),
    ...findLateVersions(calls, record),
  ];
}

function findCallViolations(
  call: SoakCall,
  runs: readonly SoakRun[],
): readonly SoakViolation[] {
  const found =
    `${call.identifier} ${call.url} ended with status ${call.status}`;
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
      ? [{ promise: "A request that is refused as not run has not run", found }]
      : []),
    ...(isSuccess && !call.whole
      ? [{
        promise: "A caller receives the complete answer to its own request",
        found,
      }]
      : []),
    ...(isSuccess && runs.length === 0
      ? [{
        promise: "A successful response comes from a backend server",
        found,
      }]
      : []),
  ];
}

function findRunViolations(
  run: SoakRun,
  record: SoakRecord,
): readonly SoakViolation[] {
  const call = record.calls.get(run.callIdentifier);
  const routeService = getRouteService(run.url);
  const found = `${run.callIdentifier} ${run.url} at ${run.service}`;
  if (call === undefined || call.url !== run.url) {
    return [{
      promise:
        "A backend server runs only requests that a caller sent, unchanged",
      found,
    }];
  }
  return [
    ...(call.callerService === run.callerService ? [] : [{
      promise: "A backend server receives the service of the original caller",
      found: `${found}: ${run.callerService} instead of ${call.callerService}`,
    }]),
    ...(routeService === undefined || routeService === run.service ? [] : [{
      promise: "A backend server runs only requests of routes to its service",
      found: `${found} (${run.server}) instead of ${routeService}`,
    }]),
  ];
}

/** Returns the one service of a route of the soak's rules; undefined if it has several. */
function getRouteService(url: string): string | undefined {
  const [, route = ""] = url.split("/");
  if (route === "order") return "encomendas";
  return route === "keyed" || addedRoutePattern.test(route)
    ? "vitrine"
    : undefined;
}

/** Finds routes for which a node's process returned status 200 and later 404, as if it had reverted to an older version. */
function findVersionRegressions(
  calls: readonly SoakCall[],
): readonly SoakViolation[] {
  const callsByRoute = groupBy(
    calls.filter(({ status }) => status !== undefined && status > 0),
    ({ vm, incarnation, url }) =>
      `VM ${vm} incarnation ${incarnation} ${url.split("/")[1]}`,
  );
  return Array.from(callsByRoute).flatMap(([name, group]) => {
    const firstServedIndex = group.findIndex(({ status }) => status === 200);
    const lastNotFoundIndex = group.findLastIndex(({ status }) =>
      status === notFoundStatus
    );
    return firstServedIndex >= 0 && lastNotFoundIndex > firstServedIndex
      ? [{ promise: "No node returns to an older version", found: name }]
      : [];
  });
}

/** Finds calls that received status 404 from `settledAt` on, when their route had to be in force. */
function findLateVersions(
  calls: readonly SoakCall[],
  { settledAt }: SoakRecord,
): readonly SoakViolation[] {
  return calls
    .filter(({ status, sentAt }) =>
      status === notFoundStatus && sentAt >= settledAt
    )
    .map(({ vm, url, sentAt }) => ({
      promise: "A change is in force on every node within seconds",
      found: `VM ${vm} has no route for ${url} ${
        sentAt - settledAt
      } ms after the deadline`,
    }));
}
