import type { CallsRuntime } from "../../calls/calls_runtime.ts";
import type { NetworkAddress } from "../../runtime/network_address.ts";
import type { CallObservation } from "../../telemetry/call_observation.ts";
import type { createFixedSlotAdmission } from "./create_fixed_slot_admission.ts";
import type { Relay } from "./relay.ts";
import type { ScriptedBackendServer } from "./scripted_backend_server.ts";

/** One node of a test bench, with its backend server. */
export interface BenchNode {
  readonly name: string;
  readonly runtime: CallsRuntime;
  readonly admission: ReturnType<typeof createFixedSlotAdmission>;
  readonly backendServer: ScriptedBackendServer;
  /** Address of the listener for callers. */
  readonly callers: NetworkAddress;
  /** Address of the listener for other nodes, without the relay in between. */
  readonly nodes: NetworkAddress;
  /** Relays the calls that other nodes forward to this node; control messages bypass it. */
  readonly relay: Relay;
  /** One observation for each call that ended at this node, in order. */
  readonly observations: CallObservation[];
  /** Closes the listeners, as the end of the process does: connections of other nodes are refused. */
  closeListeners(): Promise<void>;
}
