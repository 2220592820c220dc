import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";
import { getLatestStart } from "./get_latest_start.ts";
import { getNextProbeInstant } from "./get_next_probe_instant.ts";
import { QueueOrder } from "./queue_order.ts";
import type { QueuedCall } from "./queued_call.ts";

/**
 * Returns the next instant at which the admission must run without another
 * event, in milliseconds since the Unix epoch; infinity if there is none.
 */
export function getNextTimerInstant(
  state: AdmissionState,
  context: Pick<AdmissionContext, "policy">,
): number {
  const instants = [
    getNextProbeInstant(state, context),
    ...state.lingering.map((slot) => slot.until),
    ...state.queue.map((call) =>
      getQueueTimeoutInstant(state, { call, ...context })
    ),
  ];
  return Math.min(...instants);
}

/** Returns when a queued call must be refused: one millisecond after its latest start, or at its deadline. */
function getQueueTimeoutInstant(
  state: AdmissionState,
  options: Pick<AdmissionContext, "policy"> & { readonly call: QueuedCall },
): number {
  const { call, policy } = options;
  const { deadline } = call.request;
  return policy.queueOrder === QueueOrder.FirstInFirstOut
    ? deadline
    : Math.min(deadline, Math.floor(getLatestStart(state, call)) + 1);
}
