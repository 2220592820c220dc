import type { CallsRuntime } from "../../calls/calls_runtime.ts";
import type { NetworkAddress } from "../../runtime/network_address.ts";
import type { CallObservation } from "../../telemetry/call_observation.ts";
import type { createFixedSlotAdmission } from "./create_fixed_slot_admission.ts";
import type { Relay } from "./relay.ts";
import type { ScriptedBackendServer } from "./scripted_backend_server.ts";

/** One node of a bench, with its backend server. */
export interface BenchNode {
  readonly name: string;
  readonly runtime: CallsRuntime;
  readonly admission: ReturnType<typeof createFixedSlotAdmission>;
  readonly backendServer: ScriptedBackendServer;
  /** Where callers connect. */
  readonly callers: NetworkAddress;
  readonly nodes: NetworkAddress;
  /** Stands between the other nodes' calls and this node; control messages do not pass it. */
  readonly relay: Relay;
  readonly observations: CallObservation[];
  /** Closes the listeners, as the death of the process does: other nodes are refused. */
  closeListeners(): Promise<void>;
}
