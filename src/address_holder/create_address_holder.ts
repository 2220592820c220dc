import type { AddressHolder } from "./address_holder.ts";
import { HolderKind } from "./holder_kind.ts";

/** Creates the state of a node that has seen no answer from the address. */
export function createAddressHolder(): AddressHolder {
  return {
    kind: HolderKind.Unseen,
    classifiedIdentifier: undefined,
    latest: undefined,
    own: undefined,
    rejectedIdentifier: undefined,
  };
}
