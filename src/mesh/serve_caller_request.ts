import type { IncomingMessage, ServerResponse } from "node:http";
import { Outcome } from "../calls/outcome.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { selectForwardedHeaders } from "../calls/select_forwarded_headers.ts";
import type { CallRoute } from "../routing/call_route.ts";
import { chooseTarget } from "../routing/choose_target.ts";
import { findCallRoute } from "../routing/find_call_route.ts";
import { authenticateCaller } from "./authenticate_caller.ts";
import { breakOffResponse } from "./break_off_response.ts";
import { CallEventKind } from "./call_event_kind.ts";
import type { CallPlan } from "./call_plan.ts";
import type { CallResult } from "./call_result.ts";
import { CallResultKind } from "./call_result_kind.ts";
import type { CallerTurn } from "./caller_turn.ts";
import { canCallerRetry } from "./can_caller_retry.ts";
import { createCallIdentifier } from "./create_call_identifier.ts";
import { createEarlyRefusal } from "./create_early_refusal.ts";
import { detectClosedConnections } from "./detect_closed_connections.ts";
import { getBodyBytesMaximum } from "./get_body_bytes_maximum.ts";
import { getEarlyRefusalReason } from "./get_early_refusal_reason.ts";
import { getGoalDeadline } from "./get_goal_deadline.ts";
import { getSplitState } from "./get_split_state.ts";
import { hasOrganisations } from "./has_organisations.ts";
import { joinCallerPipeline } from "./join_caller_pipeline.ts";
import { isNestedCall } from "./is_nested_call.ts";
import type { MeshNode } from "./mesh_node.ts";
import { processWithinQuota } from "./process_within_quota.ts";
import { readRequestBody } from "./read_request_body.ts";
import { recordRemainingMilliseconds } from "./record_remaining_milliseconds.ts";
import { refuseOutOfTurn } from "./refuse_out_of_turn.ts";
import { reportCallResult } from "./report_call_result.ts";
import { reportInternalError } from "./report_internal_error.ts";
import { selectBackendHeaders } from "./select_backend_headers.ts";
import { writeCallResult } from "./write_call_result.ts";

/** An answer that is in transit at the deadline is still delivered. */
const deadlineGraceMilliseconds = 30;

/**
 * Serves a request that a caller or the backend server of this VM sends to the
 * mesh. A request that was sent behind others on its connection may have to
 * wait for its turn.
 */
export function serveCallerRequest(
  node: MeshNode,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const receivedAt = node.clock.now();
  joinCallerPipeline(node, {
    request,
    response,
    begin: (turn) => serveInTurn(node, { request, response, receivedAt, turn }),
    refuse: () => refuseOutOfTurn(node, { request, response, receivedAt }),
  });
}

function serveInTurn(
  node: MeshNode,
  options: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly receivedAt: number;
    readonly turn: CallerTurn;
  },
): void {
  const { request, response, receivedAt, turn } = options;
  const { cancellation } = turn;
  const head = node.dialect.readCallerHead(request);
  const callIdentifier = head.callIdentifier ?? createCallIdentifier();
  const route = findCallRoute(node.view.routes, {
    host: request.headers.host ?? "",
    url: request.url ?? "/",
  });
  const reason = getEarlyRefusalReason(node, {
    route,
    receivedAt,
    rawHeaders: request.rawHeaders,
  });
  if (route === undefined || reason !== undefined) {
    request.resume();
    if (reason !== undefined) refuse(reason);
    return;
  }
  const isKeyRequired = hasOrganisations(node);
  const caller = authenticateCaller(node, { route, key: head.key });
  if (caller.isErr) {
    request.resume();
    refuse(caller.error);
    return;
  }
  const organisation = caller.value;
  const { remainingMilliseconds = Number.POSITIVE_INFINITY } = head;
  const deadline = receivedAt +
    Math.min(route.timeoutMilliseconds, remainingMilliseconds);
  const timer = node.timers.at(
    deadline + deadlineGraceMilliseconds,
    () => cancellation.abort(),
  );
  // An answer that is forwarded as it arrives may not have ended by then.
  response.once("close", () => timer.cancel());
  serveRoute(route).catch(handleInternalError);

  async function serveRoute(chosen: CallRoute): Promise<void> {
    const body = await readRequestBody(request, {
      bytesMaximum: getBodyBytesMaximum(node),
      signal: cancellation.signal,
    });
    if (body.isErr) {
      return hasLeft() ? reportAbandoned(chosen.name) : refuse(body.error);
    }
    const plan = createPlan(chosen, body.value);
    await detectClosedConnections(node, {
      turns: 2,
      connection: request.socket,
    });
    const result = await processWithinQuota(node, plan);
    // An answer that is ready is sent even if the caller may have left.
    const isAnswered = result.kind === CallResultKind.Answered;
    if (turn.isUnanswerable() || (hasLeft() && !isAnswered)) {
      return reportAbandoned(chosen.name, plan.service);
    }
    respond(result, plan);
  }

  /** The response is closed some turns after the end of the caller's input. */
  function hasLeft(): boolean {
    return turn.isUnanswerable() || request.socket.readableEnded;
  }

  function reportAbandoned(routeName: string, service?: string): void {
    node.report.call({
      kind: CallEventKind.Abandoned,
      call: callIdentifier,
      route: routeName,
      ...(service === undefined ? {} : { service }),
      ...(organisation === undefined
        ? {}
        : { organisation: organisation.name }),
      elapsedMilliseconds: Math.round(node.clock.now() - receivedAt),
    });
  }

  function createPlan(chosen: CallRoute, body: Buffer): CallPlan {
    const longestMilliseconds = recordRemainingMilliseconds(node, {
      route: chosen.name,
      remainingMilliseconds,
    });
    const mayComeBack = canCallerRetry(chosen, { longestMilliseconds });
    const isNested = isNestedCall(node, { request, mayComeBack });
    if (isNested) node.gate.nestedCallAt = receivedAt;
    return {
      callIdentifier,
      request: {
        method: request.method ?? "GET",
        url: request.url ?? "/",
        headers: selectBackendHeaders(node, {
          headers: selectForwardedHeaders(request.rawHeaders),
          isKeyRequired,
        }),
        body,
      },
      route: chosen,
      organisation,
      priority: organisation?.priority ?? chosen.priority,
      service: chooseTarget(chosen, getSplitState(node, chosen.name)),
      rulesVersion: node.view.rules?.version ?? 0,
      receivedAt,
      deadline,
      goalDeadline: getGoalDeadline(chosen, {
        remainingMilliseconds,
        longestMilliseconds,
        now: receivedAt,
      }),
      mayComeBack,
      isNested,
      signal: cancellation.signal,
    };
  }

  function handleInternalError(error: unknown): void {
    reportInternalError(node, { callIdentifier, error });
    if (response.headersSent) {
      turn.endConnection();
      breakOffResponse(response);
      return;
    }
    respond({
      ...createEarlyRefusal(RefusalReason.InternalError),
      outcome: Outcome.Unknown,
    }, undefined);
  }

  function refuse(refusalReason: RefusalReason): void {
    respond(createEarlyRefusal(refusalReason), undefined);
  }

  function respond(result: CallResult, plan: CallPlan | undefined): void {
    const now = node.clock.now();
    // A stopping node answers what it has passed on before the connection ends.
    const closing = node.stopping && !turn.hasRequestsBehind();
    if (closing || isUnframed(result)) turn.endConnection();
    if (result.kind === CallResultKind.Answered) {
      result.body.rest?.once("error", () => turn.endConnection());
    }
    writeCallResult(response, result, { closing, now });
    reportCallResult(node, result, { callIdentifier, receivedAt, plan });
  }
}

/** Whether the end of an answer is the end of its connection. */
function isUnframed(result: CallResult): boolean {
  return result.kind === CallResultKind.Answered && !result.body.framed;
}
