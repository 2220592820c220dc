import type { VmEntry } from "../../src/platform/vm_entry.ts";
import { VmState } from "../../src/platform/vm_state.ts";
import { scaleDocumentSize } from "../documents/scale_document_size.ts";

const addressesPerSubnet = 250;
const nodePort = 7000;

/** Returns a list of `count` VMs in the form that the platform serves. */
export function createPeerList(count: number): readonly VmEntry[] {
  const { zones, regions } = scaleDocumentSize(count);
  return Array.from({ length: count }, (_, index) => ({
    vm: `vm-${index}`,
    zone: `zone-${index % zones}`,
    region: `region-${index % zones % regions}`,
    nodeAddress: {
      host: `10.0.${Math.floor(index / addressesPerSubnet)}.${
        index % addressesPerSubnet + 1
      }`,
      port: nodePort,
    },
    state: VmState.Live,
  }));
}
