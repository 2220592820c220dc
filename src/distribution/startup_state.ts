import type { Version } from "../configuration/version.ts";
import type { StartupAnswer } from "./startup_answer.ts";

/** The question that a node puts to its peers before it puts a first version in force. */
export interface StartupState {
  readonly decided: boolean;
  /** When the next peers are asked. */
  readonly nextWaveAt: number;
  /** When the answers so far suffice, provided that one names a version. */
  readonly settleAt: number;
  /** Whether a peer has told which nodes it knows. */
  readonly learntPeers: boolean;
  /** What each asked peer answered, by address. */
  readonly answers: ReadonlyMap<string, StartupAnswer>;
  /** The highest version that a peer has said it holds; nothing older is put in force first. */
  readonly floor: Version | undefined;
}
