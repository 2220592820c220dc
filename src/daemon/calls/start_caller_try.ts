import { CallEventKind } from "../../calls/call_event_kind.ts";
import { createRefusal } from "../../calls/create_refusal.ts";
import type { ForwardedCall } from "../../calls/forwarded_call.ts";
import { Outcome } from "../../calls/outcome.ts";
import { RefusalReason } from "../../calls/refusal_reason.ts";
import { ViewEventKind } from "../../calls/view_event_kind.ts";
import type { BackendServer } from "../../configuration/backend_server.ts";
import type { CallerRun } from "./caller_run.ts";
import type { CallerTry } from "./caller_try.ts";
import { chooseServer } from "./choose_server.ts";
import { createTryReceiver } from "./create_try_receiver.ts";
import { handOver } from "./hand_over.ts";
import { updateTriedView } from "./update_tried_view.ts";

/** Chooses a backend server for the next try of a caller's call and hands the call over. */
export function startCallerTry(
  run: CallerRun,
  next: { readonly attempt: number; readonly excluded: readonly string[] },
): void {
  const { node, call } = run;
  const server = chooseServer(node, call.snapshot, {
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
  const started: CallerTry = { exchange: undefined, loadReported: false };
  run.currentTry = started;
  run.server = server;
  run.triedAt = node.options.environment.clock.now();
  updateTriedView(run, { kind: ViewEventKind.CallSent });
  const remote = server.name !== node.options.settings.backendServer?.name;
  run.apply({
    kind: CallEventKind.Sent,
    backendServer: server.name,
    remote,
    awaitsConnection: remote,
  });
  started.exchange = handOver(
    node,
    createForwardedCall(run, { server, attempt: next.attempt }),
    { server, receiver: createTryReceiver(run, started) },
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
