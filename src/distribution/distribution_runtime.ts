import type { ParsedConfiguration } from "../configuration/parsed_configuration.ts";
import type { Snapshot } from "../configuration/snapshot.ts";
import type { PeerRecord } from "../peers/peer_record.ts";
import type { DistributionStatus } from "./distribution_status.ts";

/**
 * Obtains configurations from the platform and the peers, and distributes them
 * to peers.
 */
export interface DistributionRuntime {
  /** Starts to query the peers and the platform. */
  start(): void;
  /**
   * Handles a control request of the distribution and resolves with its result.
   * `parameters` has not been validated; the promise rejects if the request is
   * invalid or the node has stopped.
   */
  handleControlMethod(method: string, parameters: unknown): Promise<unknown>;
  /** Returns the snapshot in force, or undefined if there is none yet. */
  getSnapshot(): Snapshot | undefined;
  /**
   * Returns the configuration document in force with its digest, in a form that
   * can be published again.
   */
  getDocument(): ParsedConfiguration | undefined;
  /**
   * Returns the latest record of each peer by VM, without the node itself. A
   * peer whose VM the platform lists as leaving is shown as draining.
   */
  getPeers(): ReadonlyMap<string, PeerRecord>;
  /**
   * Returns the VMs that the platform lists as leaving, which may include this
   * node's own, with the instant at which that was observed, in milliseconds
   * since the Unix epoch.
   */
  getLeavingVms(): ReadonlyMap<string, number>;
  /**
   * Returns the VMs that the platform once listed and no longer lists, with the
   * instant at which that was observed, in milliseconds since the Unix epoch.
   */
  getGoneVms(): ReadonlyMap<string, number>;
  /**
   * Resolves once the version in force has been confirmed or replaced after a
   * pause, or the node stops.
   */
  confirmView(): Promise<void>;
  /**
   * Reports to some peers that this node is draining, and ends all timers and
   * watches.
   */
  stop(): Promise<void>;
  getStatus(): DistributionStatus;
}
