import type { CallPath } from "./call_path.ts";

/** Latencies of one block of interleaved calls by path, in milliseconds. */
export type CostBlock = Readonly<Record<CallPath, readonly number[]>>;
