import type { ParsedConfiguration } from "../configuration/parsed_configuration.ts";
import type { Snapshot } from "../configuration/snapshot.ts";
import type { PeerRecord } from "../peers/peer_record.ts";
import type { DistributionStatus } from "./distribution_status.ts";

/** Obtains configurations from the platform and the peers, and passes them on. */
export interface DistributionRuntime {
  /** Begins to ask peers and the platform. */
  start(): void;
  /** Answers the control methods of the distribution; parameters come unchecked from the network. */
  handleControlMethod(method: string, parameters: unknown): Promise<unknown>;
  getSnapshot(): Snapshot | undefined;
  /** Returns the document in force with its digest, in a form that can be published again. */
  getDocument(): ParsedConfiguration | undefined;
  /**
   * Returns the latest record known of each peer, by VM, without the node
   * itself. A peer whose VM the platform lists as leaving is shown as draining.
   */
  getPeers(): ReadonlyMap<string, PeerRecord>;
  /** VMs that the platform lists as leaving, with the instant at which that was seen; this node's own may be among them. */
  getLeavingVms(): ReadonlyMap<string, number>;
  /** VMs that the platform listed once and lists no longer, with the instant at which that was seen. */
  getGoneVms(): ReadonlyMap<string, number>;
  /** Resolves once peers have confirmed, or replaced, the version in force after a pause. */
  confirmView(): Promise<void>;
  /** Tells some peers that this node is draining, and ends all timers and watches. */
  stop(): Promise<void>;
  getStatus(): DistributionStatus;
}
