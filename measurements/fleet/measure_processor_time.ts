import type { Child } from "../../stand_ins/deployment/child.ts";
import { runInTurn } from "../run_in_turn.ts";
import { wait } from "../wait.ts";
import type { ProcessorTime } from "./processor_time.ts";
import { readProcessUse } from "./read_process_use.ts";

const concurrentSenders = 4;
const millisecondsPerSecond = 1000;

/** Sends `count` requests, a few at a time, and divides the processor time that the nodes took, less their time at rest, by their number. */
export async function measureProcessorTime(
  nodes: readonly Child[],
  options: {
    readonly count: number;
    readonly send: () => Promise<unknown>;
  },
): Promise<ProcessorTime> {
  const perSender = Array.from({
    length: Math.ceil(options.count / concurrentSenders),
  });
  const first = readNodes(nodes);
  await Promise.all(
    Array.from(
      { length: concurrentSenders },
      () => runInTurn(perSender, options.send),
    ),
  );
  const second = readNodes(nodes);
  const span = second.at - first.at;
  await wait(span);
  const third = readNodes(nodes);
  const shareAtRest = (third.processorMilliseconds -
    second.processorMilliseconds) / (third.at - second.at);
  const spent = second.processorMilliseconds - first.processorMilliseconds;
  const sent = perSender.length * concurrentSenders;
  return {
    milliseconds: (spent - shareAtRest * span) / sent,
    requestsPerSecond: sent * millisecondsPerSecond / span,
    sent,
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
