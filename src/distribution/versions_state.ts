import type { CompiledConfiguration } from "../configuration/compiled_configuration.ts";
import type { ConfigurationPart } from "../configuration/configuration_part.ts";
import type { Version } from "../configuration/version.ts";
import type { Candidate } from "./candidate.ts";
import type { RefusalNotice } from "./refusal_notice.ts";

/** The versions that a node stores, completely or in part. */
export interface VersionsState {
  readonly inForce: CompiledConfiguration | undefined;
  /**
   * When the version in force was applied, in milliseconds since the Unix
   * epoch.
   */
  readonly appliedAt: number | undefined;
  /**
   * A complete, valid version that is newer than the one in force and is about
   * to replace it.
   */
  readonly candidate: Candidate | undefined;
  /** Validated parts by digest: those of the versions above and of the pull. */
  readonly parts: ReadonlyMap<string, ConfigurationPart>;
  /**
   * Digests of the content that this node most recently refused, so that it is
   * not pulled repeatedly.
   */
  readonly refusedDigests: readonly string[];
  /**
   * The refusal shown to operators, found on this node or received from a peer.
   */
  readonly refusal: RefusalNotice | undefined;
  /** How many more times the refusal is sent without being requested. */
  readonly remainingRefusalSends: number;
  /** Different content observed under the number in force. */
  readonly conflict: Version | undefined;
}
