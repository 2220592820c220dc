import { takeListedVms } from "../peers/take_listed_vms.ts";
import type { VmEntry } from "../platform/vm_entry.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { updateReader } from "./update_reader.ts";

/** Takes the platform's list of VMs, or the failure to read it where `vms` is undefined. */
export function takeVmList(
  state: DistributionState,
  vms: readonly VmEntry[] | undefined,
  context: DistributionContext,
): DistributionState {
  const { now, random } = context;
  const peers = vms === undefined
    ? state.peers
    : takeListedVms(state.peers, vms, { now });
  const updated = updateReader({ ...state, peers }, context);
  const interval = getListInterval(updated);
  return {
    ...updated,
    platform: {
      ...updated.platform,
      isListing: false,
      nextListAt: now + interval * (0.5 + random.next()),
    },
  };
}

/** Readers of the platform read the list more often, and tell the others what has changed. */
function getListInterval({ peers, platform }: DistributionState): number {
  const listed = peers.listedVms?.size ?? 0;
  return platform.isReader || peers.listedVms === undefined
    ? Math.max(
      distributionLimits.readerListMilliseconds,
      distributionLimits.readerListMillisecondsPerVm * listed,
    )
    : Math.max(
      distributionLimits.listMilliseconds,
      distributionLimits.listMillisecondsPerVm * listed,
    );
}
