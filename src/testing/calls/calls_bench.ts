import type { Snapshot } from "../../configuration/snapshot.ts";
import type { BenchNode } from "./bench_node.ts";

/** Some nodes of one service in one process, with real listeners and connections on loopback. */
export interface CallsBench {
  readonly nodes: readonly BenchNode[];
  readonly snapshot: Snapshot;
  close(): Promise<void>;
}
