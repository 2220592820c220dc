import type { CompiledConfiguration } from "../configuration/compiled_configuration.ts";
import type { CandidateStage } from "./candidate_stage.ts";
import type { ReplicationState } from "./replication_state.ts";

/** A complete, valid version that is not in force yet. */
export interface Candidate {
  readonly compiled: CompiledConfiguration;
  /** `platform`, or the VM or address of the peer that sent it. */
  readonly source: string;
  /**
   * Whether this node read the version from the platform itself, so that
   * possibly no peer stores it yet.
   */
  readonly fromPlatform: boolean;
  readonly stage: CandidateStage;
  /**
   * When the stage ends even if its condition is not met, in milliseconds since
   * the Unix epoch; Infinity while the node starts.
   */
  readonly deadline: number;
  readonly replication: ReplicationState;
}
