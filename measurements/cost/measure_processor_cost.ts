import type { Child } from "../../stand_ins/deployment/child.ts";
import { readProcessUse } from "../fleet/read_process_use.ts";
import { runInTurn } from "../run_in_turn.ts";
import { wait } from "../wait.ts";
import { abandonMeasuredCall } from "./abandon_measured_call.ts";
import type { CallTarget } from "./call_target.ts";
import type { ProcessorCost } from "./processor_cost.ts";
import { sendMeasuredCall } from "./send_measured_call.ts";

const concurrentCalls = 4;
const millisecondsPerSecond = 1000;

/** Sends calls by one path and divides the processor time that the nodes took, less their time at rest, by the number of calls. */
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
  const first = readNodes(nodes);
  const perSender = Array.from({
    length: Math.ceil(calls / concurrentCalls),
  });
  await Promise.all(
    Array.from(
      { length: concurrentCalls },
      () => runInTurn(perSender, () => send(target)),
    ),
  );
  const second = readNodes(nodes);
  const span = second.at - first.at;
  await wait(span);
  const third = readNodes(nodes);
  const shareAtRest = (third.processorMilliseconds -
    second.processorMilliseconds) / (third.at - second.at);
  const spent = second.processorMilliseconds - first.processorMilliseconds;
  const sent = perSender.length * concurrentCalls;
  return {
    path: target.path,
    abandoned,
    milliseconds: (spent - shareAtRest * span) / sent,
    callsPerSecond: sent * millisecondsPerSecond / span,
  };
}

function readNodes(nodes: readonly Child[]) {
  return {
    at: Date.now(),
    processorMilliseconds: nodes.map(readProcessUse).reduce(
      (sum, use) => sum + use.processorMilliseconds,
      0,
    ),
  };
}
