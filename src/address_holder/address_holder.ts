import type { HolderKind } from "./holder_kind.ts";
import type { HolderSighting } from "./holder_sighting.ts";

/**
 * What a node knows of the backend server at the address of this VM's one.
 * Mutable.
 */
export interface AddressHolder {
  kind: HolderKind;
  /** Identifier of the holder that `kind` is about; undefined if it has not named itself. */
  classifiedIdentifier: string | undefined;
  /** The last one that named itself; undefined if none did. */
  latest: HolderSighting | undefined;
  /** The last one that is known to belong to the node's service; undefined if none is. */
  own: HolderSighting | undefined;
  /**
   * Identifier that the holder rejected as not its own, without naming itself;
   * undefined once it has answered a probe.
   */
  rejectedIdentifier: string | undefined;
}
