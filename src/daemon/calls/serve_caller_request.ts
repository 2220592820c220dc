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

const unrouted = { service: "", priority: CallPriority.Normal };

/** Serves one request of the callers' listener. */
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
  const refuse = (refusal: Refusal, unread = false) => {
    ended = true;
    refuseCallerCall(node, response, {
      ...unrouted,
      receivedAt,
      refusal,
      unread,
    });
  };
  const refuseFor = (reason: RefusalReason) =>
    refuse(createRefusal(reason, Outcome.NotRun, { now: clock.now() }));
  const cut = () => response.destroy();
  node.callerCalls.add(cut);
  response.on("error", () => undefined);
  response.on("close", () => {
    node.callerCalls.delete(cut);
    if (!ended) {
      node.counters.abandoned += 1;
      observeCall(node, { ...unrouted, receivedAt, result: "abandoned" });
    }
    node.onEnded();
  });

  const obstacle = getObstacle(node);
  if (obstacle !== undefined || node.snapshot === undefined) {
    refuseFor(obstacle ?? RefusalReason.NodeStarting);
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
    onTooLarge: () => refuseFor(RefusalReason.RequestTooLarge),
    onWhole: (body) => {
      if (ended) {
        return;
      }
      ended = true;
      node.callerCalls.delete(cut);
      runCallerCall(node, parsed.value, { body, receivedAt, response });
    },
  });
  if (!ended) {
    followUpload(node, response, {
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

/** Refuses a request that is still not whole at its deadline, or when the node begins to drain. */
function followUpload(
  node: CallsNode,
  response: ServerResponse,
  upload: {
    /** In milliseconds since the Unix epoch. */
    readonly deadline: number;
    readonly refuse: (reason: RefusalReason) => void;
  },
): void {
  const refuseDraining = () => upload.refuse(RefusalReason.NodeDraining);
  const timer = node.options.environment.timers.at(
    upload.deadline,
    () => upload.refuse(RefusalReason.DeadlinePassed),
  );
  node.uploads.add(refuseDraining);
  response.on("close", () => {
    timer.cancel();
    node.uploads.delete(refuseDraining);
  });
}

function getObstacle(node: CallsNode): RefusalReason | undefined {
  if (node.draining) {
    return RefusalReason.NodeDraining;
  }
  if (node.snapshot === undefined) {
    return RefusalReason.NodeStarting;
  }
  return node.confirmingView ? RefusalReason.ConfirmingView : undefined;
}
