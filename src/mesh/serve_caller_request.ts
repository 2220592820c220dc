import type { IncomingMessage, ServerResponse } from "node:http";
import { match } from "ts-pattern";
import { Outcome } from "../calls/outcome.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { refusalTable } from "../calls/refusal_table.ts";
import { selectPassedHeaders } from "../calls/select_passed_headers.ts";
import { chooseTarget } from "../routing/choose_target.ts";
import { findCallRoute } from "../routing/find_call_route.ts";
import type { CallRoute } from "../routing/call_route.ts";
import type { CallEnd } from "./call_end.ts";
import { CallEndKind } from "./call_end_kind.ts";
import { CallEventKind } from "./call_event_kind.ts";
import type { CallPlan } from "./call_plan.ts";
import { createCallIdentifier } from "./create_call_identifier.ts";
import { getGoalDeadline } from "./get_goal_deadline.ts";
import type { MeshNode } from "./mesh_node.ts";
import { readRequestBody } from "./read_request_body.ts";
import { runCall } from "./run_call.ts";
import { writeCallEnd } from "./write_call_end.ts";

/** An answer that is on its way when the time is up is still delivered. */
const deadlineGraceMilliseconds = 30;
/** Bound of a body before any rules are known. */
const bodyBytesMaximumDefault = 1_048_576;

/** Serves a request that a caller, or the backend server of this VM, sends to the mesh. */
export function serveCallerRequest(
  node: MeshNode,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const receivedAt = node.clock.now();
  const head = node.dialect.readCallerHead(request);
  const callIdentifier = head.callIdentifier ?? createCallIdentifier();
  const cancellation = new AbortController();
  node.callerCalls += 1;
  response.once("close", () => {
    node.callerCalls -= 1;
    if (!response.writableFinished) cancellation.abort();
  });
  const route = findCallRoute(node.view.routes, {
    host: request.headers.host ?? "",
    url: request.url ?? "/",
  });
  const finish = (end: CallEnd, plan?: CallPlan) => {
    writeCallEnd(response, end, {
      closing: node.stopping,
      now: node.clock.now(),
    });
    reportEnd(node, end, { callIdentifier, receivedAt, plan });
  };
  if (receivedAt >= node.callersEndAt) {
    request.resume();
    finish(createEarlyRefusal(RefusalReason.NodeDraining));
    return;
  }
  if (route === undefined) {
    request.resume();
    finish(createRouteRefusal(node));
    return;
  }
  const timeout = Math.min(
    route.timeoutMilliseconds,
    head.remainingMilliseconds ?? Number.POSITIVE_INFINITY,
  );
  const deadline = receivedAt + timeout;
  const timer = node.timers.at(
    deadline + deadlineGraceMilliseconds,
    () => cancellation.abort(),
  );
  serve().finally(() => timer.cancel());

  async function serve(): Promise<void> {
    const body = await readRequestBody(request, {
      bytesMaximum: node.view.rules?.limits.bodyBytesMaximum ??
        bodyBytesMaximumDefault,
    });
    if (body.isErr) return finish(createEarlyRefusal(body.error));
    const plan = createPlan(route as CallRoute, body.value);
    const end = await runCall(node, plan);
    if (response.destroyed || request.socket.destroyed) {
      reportAbandoned(node, plan);
      return;
    }
    finish(end, plan);
  }

  function createPlan(chosen: CallRoute, body: Buffer): CallPlan {
    return {
      callIdentifier,
      request: {
        method: request.method ?? "GET",
        url: request.url ?? "/",
        headers: selectPassedHeaders(request.rawHeaders),
        body,
      },
      route: chosen,
      service: chooseTarget(chosen, getSplit(node, chosen.name)),
      rulesVersion: node.view.rules?.version ?? 0,
      receivedAt,
      deadline,
      goalDeadline: getGoalDeadline(node, {
        route: chosen,
        remainingMilliseconds: head.remainingMilliseconds,
        now: receivedAt,
      }),
      mayComeBack: (head.remainingMilliseconds ?? 0) > timeout,
      signal: cancellation.signal,
    };
  }
}

function getSplit(node: MeshNode, route: string) {
  const known = node.splits.get(route);
  if (known !== undefined) return known;
  const created = new Map<string, number>();
  node.splits.set(route, created);
  return created;
}

/** Without rules a missing route says nothing. */
function createRouteRefusal(node: MeshNode): CallEnd {
  return createEarlyRefusal(
    node.view.rules === undefined
      ? RefusalReason.NodeStarting
      : RefusalReason.NoRoute,
  );
}

function createEarlyRefusal(reason: RefusalReason): CallEnd {
  return {
    kind: CallEndKind.Refused,
    reason,
    outcome: Outcome.NotRun,
    retryMilliseconds: refusalTable[reason].retryMilliseconds / 2,
  };
}

function reportAbandoned(node: MeshNode, plan: CallPlan): void {
  node.report.call({
    kind: CallEventKind.Abandoned,
    call: plan.callIdentifier,
    route: plan.route.name,
    service: plan.service,
    elapsedMilliseconds: node.clock.now() - plan.receivedAt,
  });
}

function reportEnd(
  node: MeshNode,
  end: CallEnd,
  options: {
    readonly callIdentifier: string;
    readonly receivedAt: number;
    readonly plan: CallPlan | undefined;
  },
): void {
  const { plan } = options;
  const now = node.clock.now();
  const soundSince = node.view.sourceSoundSince;
  const common = {
    call: options.callIdentifier,
    ...(plan === undefined
      ? {}
      : { route: plan.route.name, service: plan.service }),
    elapsedMilliseconds: Math.round(now - options.receivedAt),
    rulesVersion: plan?.rulesVersion ?? node.view.rules?.version ?? 0,
    sourceSoundMilliseconds: Number.isFinite(soundSince)
      ? Math.round(now - soundSince)
      : -1,
  };
  match(end)
    .with(
      { kind: CallEndKind.Answered },
      ({ status, backendServer }) =>
        node.report.call({
          kind: CallEventKind.Answered,
          ...common,
          status,
          backendServer,
        }),
    )
    .with({ kind: CallEndKind.Refused }, (refused) =>
      node.report.call({
        kind: CallEventKind.Refused,
        ...common,
        reason: refused.reason,
        outcome: refused.outcome,
        retryMilliseconds: Math.round(refused.retryMilliseconds),
      }))
    .exhaustive();
}
