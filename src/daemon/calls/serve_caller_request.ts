import type { IncomingMessage, ServerResponse } from "node:http";
import { createRefusal } from "../../calls/create_refusal.ts";
import { Outcome } from "../../calls/outcome.ts";
import { parseCallerCall } from "../../calls/parse_caller_call.ts";
import type { Refusal } from "../../calls/refusal.ts";
import { RefusalReason } from "../../calls/refusal_reason.ts";
import { CallPriority } from "../../configuration/call_priority.ts";
import type { CallsNode } from "./calls_node.ts";
import { refuseCallerCall } from "./refuse_caller_call.ts";
import { observeCall } from "./observe_call.ts";
import { readBody } from "./read_body.ts";
import { runCallerCall } from "./run_caller_call.ts";

const unroutedCall = { service: "", priority: CallPriority.Normal };

/** Handles one request of the callers' listener. */
export function serveCallerRequest(
  node: CallsNode,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const { clock } = node.options.environment;
  const { limits, timing } = node.options.settings;
  const receivedAt = clock.now();
  node.counters.received += 1;
  let ended = false;
  const refuse = (refusal: Refusal, closeConnection = false) => {
    ended = true;
    refuseCallerCall(node, response, {
      ...unroutedCall,
      receivedAt,
      refusal,
      closeConnection,
    });
  };
  const refuseAsNotRun = (reason: RefusalReason) =>
    refuse(createRefusal(reason, Outcome.NotRun, { now: clock.now() }));
  const abort = () => response.destroy();
  node.callerCalls.add(abort);
  response.on("error", () => undefined);
  response.on("close", () => {
    node.callerCalls.delete(abort);
    if (!ended) {
      node.counters.abandoned += 1;
      observeCall(node, { ...unroutedCall, receivedAt, result: "abandoned" });
    }
    node.onEnded();
  });

  const refusalReason = getRefusalReason(node);
  if (refusalReason !== undefined || node.snapshot === undefined) {
    refuseAsNotRun(refusalReason ?? RefusalReason.NodeStarting);
    return;
  }
  const { method = "", url: target = "", headers, rawHeaders } = request;
  const parsed = parseCallerCall(
    { method, target, headers, rawHeaders },
    node.snapshot,
    {
      now: receivedAt,
      clockSkewMilliseconds: timing.clockSkewMilliseconds,
    },
  );
  if (parsed.isErr) {
    refuse(parsed.error);
    return;
  }
  const { deadline } = parsed.value;
  readBody(request, {
    maximumBytes: limits.requestBodyBytes,
    onTooLarge: () => refuseAsNotRun(RefusalReason.RequestTooLarge),
    onComplete: (body) => {
      if (ended) {
        return;
      }
      ended = true;
      node.callerCalls.delete(abort);
      runCallerCall(node, parsed.value, { body, receivedAt, response });
    },
  });
  if (!ended) {
    watchUpload(node, response, {
      deadline,
      refuse: (reason) => {
        if (!ended) {
          const now = clock.now();
          refuse(createRefusal(reason, Outcome.NotRun, { now }), true);
        }
      },
    });
  }
}

/** Refuses a request that is still incomplete at its deadline, or when the node starts to drain. */
function watchUpload(
  node: CallsNode,
  response: ServerResponse,
  upload: {
    /** Deadline of the call, in milliseconds since the Unix epoch. */
    readonly deadline: number;
    readonly refuse: (reason: RefusalReason) => void;
  },
): void {
  const refuseDraining = () => upload.refuse(RefusalReason.NodeDraining);
  const timer = node.options.environment.timers.at(
    upload.deadline,
    () => upload.refuse(RefusalReason.DeadlinePassed),
  );
  node.pendingUploads.add(refuseDraining);
  response.on("close", () => {
    timer.cancel();
    node.pendingUploads.delete(refuseDraining);
  });
}

function getRefusalReason(node: CallsNode): RefusalReason | undefined {
  if (node.draining) {
    return RefusalReason.NodeDraining;
  }
  if (node.snapshot === undefined) {
    return RefusalReason.NodeStarting;
  }
  return node.confirmingView ? RefusalReason.ConfirmingView : undefined;
}
