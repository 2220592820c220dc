import { applyListedVms } from "../peers/apply_listed_vms.ts";
import type { VmEntry } from "../platform/vm_entry.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { updateReaderRole } from "./update_reader_role.ts";

/**
 * Handles the VM list of the platform; `vms` is undefined if the read failed.
 */
export function handleVmList(
  state: DistributionState,
  vms: readonly VmEntry[] | undefined,
  context: DistributionContext,
): DistributionState {
  const { now, random } = context;
  const peers = vms === undefined
    ? state.peers
    : applyListedVms(state.peers, vms, { now });
  const updated = updateReaderRole({ ...state, peers }, context);
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

/**
 * Returns the mean interval between reads of the VM list, in milliseconds.
 * Readers read it more often and pass changes on to the other nodes.
 */
function getListInterval({ peers, platform }: DistributionState): number {
  const listed = peers.listedVms?.size ?? 0;
  return platform.isReader || peers.listedVms === undefined
    ? Math.max(
      distributionLimits.readerListIntervalMilliseconds,
      distributionLimits.readerListIntervalMillisecondsPerVm * listed,
    )
    : Math.max(
      distributionLimits.listIntervalMilliseconds,
      distributionLimits.listIntervalMillisecondsPerVm * listed,
    );
}
