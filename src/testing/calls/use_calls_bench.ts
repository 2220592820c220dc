import type { ExecutionContext } from "ava";
import type { CallsBench } from "./calls_bench.ts";
import { startCallsBench } from "./start_calls_bench.ts";

/** Starts a test bench that is closed when the test ends. */
export async function useCallsBench(
  t: ExecutionContext,
  count: number,
  options: Parameters<typeof startCallsBench>[1] = {},
): Promise<CallsBench> {
  const bench = await startCallsBench(count, options);
  t.teardown(bench.close);
  return bench;
}
