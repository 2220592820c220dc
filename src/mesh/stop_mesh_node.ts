import { endFeed } from "../source/end_feed.ts";
import type { MeshNode } from "./mesh_node.ts";
import { updateGate } from "./update_gate.ts";

/**
 * Time in which the platform detects that the node is not ready and directs its
 * callers to other nodes.
 */
const readinessPropagationMilliseconds = 2_600;
/** Time reserved before the process is killed. */
const killMarginMilliseconds = 700;
/**
 * The backend server may keep running, so its slots are used until a new call
 * could outlast the stop.
 */
const gateOpenMilliseconds = 1_000;
const pollMilliseconds = 50;

/**
 * Stops a node gracefully. The node reports at once that it is not ready,
 * closes its gate after a short delay, serves callers through other nodes until
 * they have left, and ends when no call is running. Resolves with the number of
 * calls still running at the end.
 */
export function stopMeshNode(node: MeshNode): Promise<number> {
  const stoppedAt = node.clock.now();
  const earliest = stoppedAt + readinessPropagationMilliseconds;
  const latest = stoppedAt + node.settings.stopMilliseconds -
    killMarginMilliseconds;
  node.stopping = true;
  // A later call could outlast the process.
  node.refusesCallersAt = earliest;
  node.gateClosesAt = stoppedAt + gateOpenMilliseconds;
  node.report.state("process", { state: "stopping" });
  endFeed(node.feed);
  updateGate(node);
  return new Promise((resolve) => {
    function checkCompletion(): void {
      const now = node.clock.now();
      const running = node.callerCalls + node.offers.held.size;
      const isDone = now >= earliest && running === 0;
      if (!isDone && now < latest) {
        node.timers.at(now + pollMilliseconds, checkCompletion);
        return;
      }
      node.report.state("process", { state: "stopped", cut: running });
      resolve(running);
    }
    checkCompletion();
  });
}
