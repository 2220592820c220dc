import type { GateCandidate } from "./gate_candidate.ts";
import type { ServiceLoad } from "./service_load.ts";

/** The backend servers of a service that may run calls, prepared for many choices. */
export interface ServiceCandidates {
  readonly all: readonly GateCandidate[];
  /** Those in the zone of this node. */
  readonly nearby: readonly GateCandidate[];
  /** The backend server of this VM, if it may run calls of the service. */
  readonly own: GateCandidate | undefined;
  readonly byIdentifier: ReadonlyMap<string, GateCandidate>;
  /** The most slots that one of them has. */
  readonly slotsMaximum: number;
  readonly serviceLoad: ServiceLoad;
}
