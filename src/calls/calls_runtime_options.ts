import type { AdmissionRuntime } from "../admission/admission_runtime.ts";
import type { NodeSettings } from "../daemon/node_settings.ts";
import type { ControlClient } from "../peers/control_client.ts";
import type { PeerRecord } from "../peers/peer_record.ts";
import type { NodeEnvironment } from "../runtime/node_environment.ts";
import type { CallObservation } from "../telemetry/call_observation.ts";

/** Dependencies of `createCallsRuntime`. */
export interface CallsRuntimeOptions {
  readonly settings: NodeSettings;
  readonly environment: NodeEnvironment;
  readonly admission: AdmissionRuntime;
  readonly controlClient: ControlClient;
  /** The latest record of each peer, by VM. */
  readonly getPeers: () => ReadonlyMap<string, PeerRecord>;
  /**
   * VMs that the platform used to list and no longer lists, with the instant
   * (milliseconds since the Unix epoch) at which this was seen.
   */
  readonly getGoneVms: () => ReadonlyMap<string, number>;
  /** Receives one observation for each call that ended. */
  readonly observe: (observation: CallObservation) => void;
}
