import type { RandomSource } from "../../src/runtime/random_source.ts";
import { runSequentially } from "../run_sequentially.ts";
import { CallPath } from "./call_path.ts";
import type { CallTarget } from "./call_target.ts";
import type { CostBlock } from "./cost_block.ts";
import { sendMeasuredCall } from "./send_measured_call.ts";

/**
 * Sends `rounds` rounds of calls and returns their latencies. Each round sends
 * one call on each path in random order, so that disturbances of the machine
 * affect all paths alike.
 */
export async function runCostBlock(
  targets: readonly CallTarget[],
  options: { readonly rounds: number; readonly random: RandomSource },
): Promise<CostBlock> {
  const latencies: Record<CallPath, number[]> = {
    [CallPath.Direct]: [],
    [CallPath.Plain]: [],
    [CallPath.OneHop]: [],
    [CallPath.TwoHops]: [],
  };
  const rounds = Array.from({ length: options.rounds }, (_, round) => round);
  await rounds.reduce(async (previous) => {
    await previous;
    await runSequentially(shuffle(targets, options.random), async (target) => {
      latencies[target.path].push(await sendMeasuredCall(target));
    });
  }, Promise.resolve());
  return latencies;
}

function shuffle(
  targets: readonly CallTarget[],
  random: RandomSource,
): readonly CallTarget[] {
  return targets
    .map((target) => ({ target, order: random.next() }))
    .sort((left, right) => left.order - right.order)
    .map(({ target }) => target);
}
