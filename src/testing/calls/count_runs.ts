import type { BenchNode } from "./bench_node.ts";

/** Returns how many calls the backend servers of the nodes have begun to run. */
export function countRuns(nodes: readonly BenchNode[]): number {
  return nodes.reduce((sum, node) => sum + node.backendServer.runs.length, 0);
}
