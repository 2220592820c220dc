import type { Snapshot } from "../../configuration/snapshot.ts";
import type { BenchNode } from "./bench_node.ts";

/** A test bench: nodes of one service in one process, with real listeners and connections on the loopback interface. */
export interface CallsBench {
  readonly nodes: readonly BenchNode[];
  /** The snapshot that every node has in force at the start. */
  readonly snapshot: Snapshot;
  /** Stops the nodes and closes their listeners and backend servers. */
  close(): Promise<void>;
}
