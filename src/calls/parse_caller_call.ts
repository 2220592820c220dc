import { Result } from "true-myth";
import type { Route } from "../configuration/route.ts";
import type { Snapshot } from "../configuration/snapshot.ts";
import { getDiagnosticMessage } from "../diagnostics/get_diagnostic_message.ts";
import type { CallHeaders } from "./call_headers.ts";
import type { CallKey } from "./call_key.ts";
import type { CallerCall } from "./caller_call.ts";
import { createRefusal } from "./create_refusal.ts";
import { findRoute } from "./find_route.ts";
import { Outcome } from "./outcome.ts";
import { parseCallHeaders } from "./parse_call_headers.ts";
import type { Refusal } from "./refusal.ts";
import { RefusalReason } from "./refusal_reason.ts";
import { selectForwardedHeaders } from "./select_forwarded_headers.ts";

interface CallerRequest {
  readonly method: string;
  /** The request target as the caller sent it. */
  readonly target: string;
  /** Names are in lower case. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly rawHeaders: readonly string[];
}

const targetPattern = /^\/[\x21-\x7e\x80-\xff]*$/;

/**
 * Validates a caller's request, finds its route and computes its deadline.
 * Fails with a refusal whose outcome is "not-run".
 */
export function parseCallerCall(
  request: CallerRequest,
  snapshot: Snapshot,
  options: { readonly now: number; readonly clockSkewMilliseconds: number },
): Result<CallerCall, Refusal> {
  const { now } = options;
  const refuse = (reason: RefusalReason, detail?: string) =>
    Result.err<CallerCall, Refusal>(
      createRefusal(reason, Outcome.NotRun, {
        now,
        ...(detail === undefined ? {} : { detail }),
      }),
    );
  if (!targetPattern.test(request.target)) {
    return refuse(
      RefusalReason.RequestInvalid,
      'The request target must be a path that begins with "/"',
    );
  }
  const checked = parseCallHeaders(request.headers, options);
  if (checked.isErr) {
    return refuse(
      RefusalReason.RequestInvalid,
      getDiagnosticMessage(checked.error),
    );
  }
  const headers = checked.value;
  const route = findRoute(
    snapshot.routes,
    getHost(request.headers["host"]),
    getPath(request.target),
  );
  const service = route && snapshot.services.get(route.service);
  if (route === undefined || service === undefined) {
    return refuse(RefusalReason.NoRoute);
  }
  const deadline = getDeadline(headers, route, now);
  if (now >= deadline) {
    return refuse(RefusalReason.DeadlinePassed);
  }
  const idempotent = route.idempotentMethods.includes(request.method);
  if (
    !idempotent && route.requireIdempotencyKey && headers.key === undefined
  ) {
    return refuse(RefusalReason.KeyRequired);
  }
  return Result.ok({
    snapshot,
    route,
    service,
    method: request.method,
    path: request.target,
    headers: selectForwardedHeaders(request.rawHeaders),
    deadline,
    idempotent,
    key: idempotent ? undefined : createKey(headers, now),
  });
}

function getHost(host: string | string[] | undefined): string {
  return typeof host === "string"
    ? host.toLowerCase().replace(/:[0-9]*$/, "")
    : "";
}

function getPath(target: string): string {
  const query = target.indexOf("?");
  return query < 0 ? target : target.slice(0, query);
}

function getDeadline(
  headers: CallHeaders,
  route: Route,
  now: number,
): number {
  const latest = now + route.deadlineMilliseconds;
  return headers.deadline === undefined
    ? latest
    : Math.min(latest, headers.deadline);
}

function createKey(headers: CallHeaders, now: number): CallKey | undefined {
  if (headers.key === undefined) {
    return undefined;
  }
  // The first attempt is being made now, so it is dated no later than this
  // node's clock.
  return {
    value: headers.key,
    callerAttempt: headers.attempt,
    firstAttemptAt: headers.attempt === 1
      ? Math.min(now, headers.firstAttemptAt ?? now)
      : headers.firstAttemptAt,
  };
}
