import { endFeed } from "../source/end_feed.ts";
import type { MeshNode } from "./mesh_node.ts";
import { updateGate } from "./update_gate.ts";
import { withdrawOutgoingOffers } from "./withdraw_outgoing_offers.ts";

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
/**
 * Share of a stop at its end in which no call starts any more: a call that ran
 * would be cut by the end of the process.
 */
const lastCallsShare = 0.2;
/** Time for the last responses to be written. */
const responseMilliseconds = 100;
const pollMilliseconds = 50;

/**
 * Stops a node gracefully. The node reports at once that it is not ready,
 * closes its gate after a short delay, serves callers through other nodes until
 * they have left, and ends when no call is running. Calls that still wait for a
 * slot shortly before the latest end are refused; calls that still run at it are
 * cancelled, and their callers are told that the outcome is unknown. Resolves
 * with the number of calls that were cancelled.
 */
export function stopMeshNode(node: MeshNode): Promise<number> {
  const stoppedAt = node.clock.now();
  const earliest = stoppedAt + readinessPropagationMilliseconds;
  const latest = stoppedAt + node.settings.stopMilliseconds -
    killMarginMilliseconds;
  node.stopping = true;
  // A later call could outlast the process.
  node.refusesCallersAt = earliest;
  node.offersEndAt = latest - (latest - stoppedAt) * lastCallsShare;
  node.gateClosesAt = Math.min(
    stoppedAt + gateOpenMilliseconds,
    node.offersEndAt,
  );
  node.report.state("process", { state: "stopping" });
  endFeed(node.feed);
  updateGate(node);
  const withdrawal = node.timers.at(
    node.offersEndAt,
    () => withdrawOutgoingOffers(node),
  );
  return new Promise((resolve) => {
    function checkCompletion(): void {
      const now = node.clock.now();
      const running = countRunningCalls(node);
      const isDone = now >= earliest && running === 0;
      if (!isDone && now < latest) {
        node.timers.at(now + pollMilliseconds, checkCompletion);
        return;
      }
      withdrawal.cancel();
      node.report.state("process", { state: "stopped", cut: running });
      void cancelCallerCalls(node).then(() => resolve(running));
    }
    checkCompletion();
  });
}

function countRunningCalls(node: MeshNode): number {
  return node.callerCalls.size + node.offers.held.size;
}

/**
 * Cancels the calls of callers that have no response yet, so that each gets one.
 * Resolves when the responses have been written, or after a short time.
 */
function cancelCallerCalls(node: MeshNode): Promise<void> {
  const latest = node.clock.now() + responseMilliseconds;
  node.callerCalls.forEach((cancellation) => cancellation.abort());
  return new Promise((resolve) => {
    function checkCompletion(): void {
      const now = node.clock.now();
      if (node.callerCalls.size === 0 || now >= latest) return resolve();
      node.timers.at(now + pollMilliseconds / 2, checkCompletion);
    }
    checkCompletion();
  });
}
