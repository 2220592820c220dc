import type { AddressHolder } from "./address_holder.ts";
import { HolderKind } from "./holder_kind.ts";

/**
 * Determines what is known of the holder of the address. The register takes
 * precedence over what the holder was taken for before.
 */
export function classifyHolder(
  holder: AddressHolder,
  options: {
    /** The node's service. */
    readonly service: string;
    /** The service under which the holder is listed; undefined if it is not. */
    readonly listedService: string | undefined;
    /** Identifier that calls would name without a sighting; undefined if there is none. */
    readonly registeredIdentifier: string | undefined;
  },
): HolderKind {
  const { service, listedService, registeredIdentifier } = options;
  const { latest, own, rejectedIdentifier } = holder;
  if (latest === undefined) {
    const isRejected = rejectedIdentifier !== undefined &&
      rejectedIdentifier === registeredIdentifier;
    return isRejected ? HolderKind.Unlisted : HolderKind.Unseen;
  }
  const isLatestOwn = own?.identifier === latest.identifier;
  if (listedService === service) {
    holder.own = latest;
    return HolderKind.Own;
  }
  if (listedService !== undefined) {
    // The time of a sighting of another service's backend server bounds nothing.
    if (isLatestOwn) holder.own = undefined;
    return HolderKind.Foreign;
  }
  return isLatestOwn ? HolderKind.Own : HolderKind.Unlisted;
}
