import type { Agent } from "node:http";
import type { MeshNode } from "./mesh_node.ts";

/** A retry that was offered before the deadline may arrive after it. */
const arrivalToleranceMilliseconds = 1_000;

/**
 * Returns the agent for one exchange with the backend server of this VM, and
 * records that the call is sent.
 *
 * A backend server may send a second copy of an answer, late, where the answer to
 * the next request on the connection is expected. All attempts of a call share
 * its identifier, so an attempt after the first gets a new connection (`false`),
 * on which no answer to an earlier attempt can arrive. A node that restarted knows
 * no earlier attempts, and has none of their connections either.
 */
export function chooseBackendAgent(
  node: MeshNode,
  call: {
    readonly callIdentifier: string;
    readonly idempotent: boolean;
    /** Instant after which the call has no further attempt, in milliseconds since the Unix epoch. */
    readonly deadline: number;
  },
): Agent | false {
  const { callIdentifier } = call;
  const isRepeated =
    node.sentCalls.get(callIdentifier, node.clock.now()) !== undefined;
  node.sentCalls.set(
    callIdentifier,
    true,
    call.deadline + arrivalToleranceMilliseconds,
  );
  if (isRepeated) return false;
  return call.idempotent ? node.backendAgent : node.recentBackendAgent;
}
