import type { Child } from "../../stand_ins/deployment/child.ts";
import { runSequentially } from "../run_sequentially.ts";
import { wait } from "../wait.ts";
import type { ProcessorTime } from "./processor_time.ts";
import { readProcessUsage } from "./read_process_usage.ts";

const concurrentSenders = 4;
const millisecondsPerSecond = 1000;

/**
 * Measures the processor time of the nodes per request. Sends `count` requests
 * over four concurrent senders, then subtracts the processor time that the nodes
 * use at rest over the same duration.
 */
export async function measureProcessorTime(
  nodes: readonly Child[],
  options: {
    readonly count: number;
    readonly send: () => Promise<unknown>;
  },
): Promise<ProcessorTime> {
  const requestsPerSender = Array.from({
    length: Math.ceil(options.count / concurrentSenders),
  });
  const before = readProcessorTime(nodes);
  await Promise.all(
    Array.from(
      { length: concurrentSenders },
      () => runSequentially(requestsPerSender, options.send),
    ),
  );
  const after = readProcessorTime(nodes);
  const durationMilliseconds = after.at - before.at;
  await wait(durationMilliseconds);
  const afterRest = readProcessorTime(nodes);
  const shareAtRest = (afterRest.processorMilliseconds -
    after.processorMilliseconds) / (afterRest.at - after.at);
  const spent = after.processorMilliseconds - before.processorMilliseconds;
  const sent = requestsPerSender.length * concurrentSenders;
  return {
    milliseconds: (spent - shareAtRest * durationMilliseconds) / sent,
    requestsPerSecond: sent * millisecondsPerSecond / durationMilliseconds,
    sent,
  };
}

function readProcessorTime(nodes: readonly Child[]) {
  return {
    at: Date.now(),
    processorMilliseconds: nodes.map(readProcessUsage).reduce(
      (sum, usage) => sum + usage.processorMilliseconds,
      0,
    ),
  };
}
