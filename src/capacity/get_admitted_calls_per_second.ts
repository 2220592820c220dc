import type { OpenGate } from "./open_gate.ts";

const millisecondsPerSecond = 1_000;

/**
 * Returns the calls a second that the gates of a service admit for one node if
 * all nodes offer it as many calls.
 */
export function getAdmittedCallsPerSecond(
  gates: readonly OpenGate[],
  options: {
    /** Rate of a gate in cold start; undefined if it is not known. */
    readonly coldCallsPerSecond: number | undefined;
    readonly nodes: number;
    readonly now: number;
  },
): number {
  const { coldCallsPerSecond, nodes, now } = options;
  const total = gates.reduce((sum, gate) => {
    const warmRate = gate.slots * millisecondsPerSecond /
      Math.max(1, gate.answerMilliseconds);
    const isCold = gate.coldUntil > now;
    return sum + (isCold ? coldCallsPerSecond ?? warmRate : warmRate);
  }, 0);
  return total / Math.max(1, nodes);
}
