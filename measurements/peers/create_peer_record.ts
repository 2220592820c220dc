import { BackendServerState } from "../../src/health/backend_server_state.ts";
import { NodeState } from "../../src/peers/node_state.ts";
import type { PeerRecord } from "../../src/peers/peer_record.ts";
import type { VmEntry } from "../../src/platform/vm_entry.ts";

const digestDigits = 64;

/** Returns a record as the node on a listed VM would publish it. */
export function createPeerRecord(
  { vm, zone, nodeAddress }: VmEntry,
  options: { readonly incarnation: number; readonly sequence: number },
): PeerRecord {
  return {
    vm,
    zone,
    nodeAddress,
    ...options,
    state: NodeState.Serving,
    backendServerState: BackendServerState.Ready,
    freeSlots: 12,
    version: { number: 1, digest: "a".repeat(digestDigits) },
  };
}
