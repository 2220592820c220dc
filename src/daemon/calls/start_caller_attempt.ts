import { CallEventKind } from "../../calls/call_event_kind.ts";
import { createRefusal } from "../../calls/create_refusal.ts";
import type { ForwardedCall } from "../../calls/forwarded_call.ts";
import { Outcome } from "../../calls/outcome.ts";
import { RefusalReason } from "../../calls/refusal_reason.ts";
import { ViewEventKind } from "../../calls/view_event_kind.ts";
import type { BackendServer } from "../../configuration/backend_server.ts";
import type { CallerRun } from "./caller_run.ts";
import type { CallerAttempt } from "./caller_attempt.ts";
import { chooseAttemptServer } from "./choose_attempt_server.ts";
import { createAttemptReceiver } from "./create_attempt_receiver.ts";
import { forwardCall } from "./forward_call.ts";
import { updateAttemptServerView } from "./update_attempt_server_view.ts";

/** Chooses a backend server for the next attempt of a caller's call and forwards the call to it. */
export function startCallerAttempt(
  run: CallerRun,
  next: { readonly attempt: number; readonly excluded: readonly string[] },
): void {
  const { node, call } = run;
  const server = chooseAttemptServer(node, call.snapshot, {
    service: call.service,
    key: call.key,
    excluded: next.excluded,
  });
  if (server === undefined) {
    const now = node.options.environment.clock.now();
    run.apply({
      kind: CallEventKind.NoCandidate,
      refusal: createRefusal(RefusalReason.NoBackendServer, Outcome.NotRun, {
        now,
      }),
    });
    return;
  }
  const attempt: CallerAttempt = { exchange: undefined, loadReported: false };
  run.currentAttempt = attempt;
  run.server = server;
  run.attemptStartedAt = node.options.environment.clock.now();
  updateAttemptServerView(run, { kind: ViewEventKind.CallSent });
  const remote = server.name !== node.options.settings.backendServer?.name;
  run.apply({
    kind: CallEventKind.Sent,
    backendServer: server.name,
    remote,
    awaitsConnection: remote,
  });
  attempt.exchange = forwardCall(
    node,
    createForwardedCall(run, { server, attempt: next.attempt }),
    { server, receiver: createAttemptReceiver(run, attempt) },
  );
}

function createForwardedCall(
  run: CallerRun,
  next: { readonly server: BackendServer; readonly attempt: number },
): ForwardedCall {
  const { call, callIdentifier, body } = run;
  const { method, path, headers, deadline, idempotent, key, route } = call;
  return {
    callIdentifier,
    attempt: next.attempt,
    backendServer: next.server.name,
    method,
    path,
    headers,
    body,
    deadline,
    priority: route.priority,
    idempotent,
    key,
  };
}
