import type { Child } from "../../stand_ins/deployment/child.ts";
import { measureProcessorTime } from "../fleet/measure_processor_time.ts";
import { abandonMeasuredCall } from "./abandon_measured_call.ts";
import type { CallTarget } from "./call_target.ts";
import type { ProcessorCost } from "./processor_cost.ts";
import { sendMeasuredCall } from "./send_measured_call.ts";

/** Measures the processor time of the nodes on one path, for answered or for abandoned calls. */
export async function measureProcessorCost(
  target: CallTarget,
  options: {
    readonly nodes: readonly Child[];
    readonly calls: number;
    readonly abandoned: boolean;
  },
): Promise<ProcessorCost> {
  const { nodes, calls, abandoned } = options;
  const send: (target: CallTarget) => Promise<unknown> = abandoned
    ? abandonMeasuredCall
    : sendMeasuredCall;
  const time = await measureProcessorTime(nodes, {
    count: calls,
    send: () => send(target),
  });
  return { path: target.path, abandoned, ...time };
}
