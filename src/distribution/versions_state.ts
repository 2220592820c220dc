import type { CompiledConfiguration } from "../configuration/compiled_configuration.ts";
import type { ConfigurationPart } from "../configuration/configuration_part.ts";
import type { Version } from "../configuration/version.ts";
import type { Candidate } from "./candidate.ts";
import type { RefusalNotice } from "./refusal_notice.ts";

/** The versions that a node holds, wholly or in part. */
export interface VersionsState {
  readonly inForce: CompiledConfiguration | undefined;
  readonly appliedAt: number | undefined;
  /** A whole, valid version above the one in force, on its way into force. */
  readonly candidate: Candidate | undefined;
  /** Checked parts by digest: those of the versions above and of the pull. */
  readonly parts: ReadonlyMap<string, ConfigurationPart>;
  /** Digests of the versions that this node refused last, so that none is pulled again and again. */
  readonly refusedDigests: readonly string[];
  /** The refusal that operators see, found here or heard from a peer. */
  readonly refusal: RefusalNotice | undefined;
  /** How many more times the refusal is sent on unasked. */
  readonly refusalSends: number;
  /** Another content seen under the number in force. */
  readonly conflict: Version | undefined;
}
