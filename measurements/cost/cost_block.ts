import type { CallPath } from "./call_path.ts";

/** The latencies of one block of interleaved calls, in milliseconds, by path. */
export type CostBlock = Readonly<Record<CallPath, readonly number[]>>;
