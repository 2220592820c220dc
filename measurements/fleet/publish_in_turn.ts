import type { Deployment } from "../../stand_ins/deployment/deployment.ts";
import { runInTurn } from "../run_in_turn.ts";
import { wait } from "../wait.ts";
import { awaitVersionEverywhere } from "./await_version_everywhere.ts";

const pauseMilliseconds = 500;

/** Publishes versions one after another; resolves with the time of each node to each version, in milliseconds. */
export async function publishInTurn(
  deployment: Deployment,
  options: { readonly firstNumber: number; readonly count: number },
): Promise<readonly number[]> {
  const numbers = Array.from(
    { length: options.count },
    (_, index) => options.firstNumber + index,
  );
  const times = await runInTurn(numbers, async (number) => {
    const acceptedAt = await deployment.publish({
      number,
      retryBudgetPercent: 10 + number % 2,
    });
    const applied = await awaitVersionEverywhere(deployment.vms, number);
    await wait(pauseMilliseconds);
    return applied.map((instant) => Math.max(0, instant - acceptedAt));
  });
  return times.flat();
}
