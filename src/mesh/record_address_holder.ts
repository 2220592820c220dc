import { recordSighting } from "../address_holder/record_sighting.ts";
import type { ClockReading } from "../runtime/clock_reading.ts";
import type { MeshNode } from "./mesh_node.ts";
import { readClocks } from "./read_clocks.ts";
import { updateAddressHolder } from "./update_address_holder.ts";

/**
 * Records which incarnation has named itself in an answer from the address of
 * this VM's backend server.
 */
export function recordAddressHolder(
  node: MeshNode,
  options: {
    readonly identifier: string;
    /** When the request was sent that it answered. */
    readonly requestedAt: ClockReading;
  },
): void {
  const { addressHolder: holder, settings } = node;
  const { identifier, requestedAt } = options;
  recordSighting(holder, {
    sighting: { identifier, seenAt: requestedAt },
    answeredAt: readClocks(node),
    reuseMilliseconds: settings.addressReuseMilliseconds,
  });
  updateAddressHolder(node);
}
