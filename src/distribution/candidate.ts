import type { CompiledConfiguration } from "../configuration/compiled_configuration.ts";
import type { CandidateStage } from "./candidate_stage.ts";
import type { ReplicationState } from "./replication_state.ts";

/** A whole, valid version that is not in force yet. */
export interface Candidate {
  readonly compiled: CompiledConfiguration;
  /** `platform`, or the VM or address of the peer that it came from. */
  readonly source: string;
  /** Whether this node read it itself, so that no peer need hold it. */
  readonly fromPlatform: boolean;
  readonly stage: CandidateStage;
  /** When the stage ends whether or not what it waits for has come; Infinity while the node starts. */
  readonly deadline: number;
  readonly replication: ReplicationState;
}
