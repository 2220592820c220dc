import { endFeed } from "../source/end_feed.ts";
import type { MeshNode } from "./mesh_node.ts";
import { updateGate } from "./update_gate.ts";

/** The platform notices within this time that the node is not ready, and sends its callers elsewhere. */
const readinessPropagationMilliseconds = 2_600;
/** Time left before the process would be killed. */
const killMarginMilliseconds = 700;
/** The backend server may go on running: its slots are used until what begins could outlast the stop. */
const gateOpenMilliseconds = 1_000;
const pollMilliseconds = 50;

/**
 * Stops gracefully: says at once that it is not ready, closes the gate soon,
 * goes on serving callers through other nodes until they have left, and ends
 * when nothing runs any more. Resolves with the number of calls still running
 * at the last moment.
 */
export function stopMeshNode(node: MeshNode): Promise<number> {
  const stoppedAt = node.clock.now();
  const earliest = stoppedAt + readinessPropagationMilliseconds;
  const latest = stoppedAt + node.settings.stopMilliseconds -
    killMarginMilliseconds;
  node.stopping = true;
  // A call that comes later could outlast the process.
  node.callersRefusedAt = earliest;
  node.gateClosesAt = stoppedAt + gateOpenMilliseconds;
  node.report.state("process", { state: "stopping" });
  endFeed(node.feed);
  updateGate(node);
  return new Promise((resolve) => {
    function checkCompletion(): void {
      const now = node.clock.now();
      const running = node.callerCalls + node.gate.running.size;
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
